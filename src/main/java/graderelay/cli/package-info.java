/**
 * The command line: {@code serve} runs a controller, {@code check} validates a settings file, and
 * the client commands send requests to a running controller over HTTP and print its response.
 * {@link graderelay.cli.Main} defines the exit codes.
 */
package graderelay.cli;
