/** Tests of whole simulated clusters over minutes or days, with faults of several kinds at once. */
package graderelay.scenario;
