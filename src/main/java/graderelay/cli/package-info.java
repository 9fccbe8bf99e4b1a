/**
 * The command line: {@code serve} runs a controller, {@code check} checks a settings file, and the
 * operators' tools ask a running controller over HTTP and print its answer. {@link
 * graderelay.cli.Main} has the exit codes.
 */
package graderelay.cli;
