/**
 * The HTTP APIs of a controller for users, operators and other controllers: decodes requests, calls
 * the state and scheduling packages, and encodes answers. Errors are {@link
 * graderelay.api.ApiError}s. Everything here runs on the event loop.
 */
package graderelay.api;
