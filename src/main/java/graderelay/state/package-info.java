/**
 * The controllers' use of the key-value store and of each other: a client of the store that keeps
 * within this controller's part of its rates ({@link graderelay.state.StateClient}), a copy of all
 * stored records that a watch keeps fresh ({@link graderelay.state.Cache}), the election of a
 * leader ({@link graderelay.state.Leadership}), and what this controller knows of cancellations
 * ({@link graderelay.state.Cancellations}).
 */
package graderelay.state;
