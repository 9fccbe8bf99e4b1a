/**
 * The controller process. {@link graderelay.service.ControllerComponents} creates its components
 * and wires them together; {@link graderelay.service.ControllerNode} starts and stops them. While
 * the controller leads, {@link graderelay.service.LeaderLifecycle} runs a {@link
 * graderelay.service.LeaderTerm}, whose scheduler core decides on actions that {@link
 * graderelay.service.LeaderActionExecutor} executes. The other classes are for request routing,
 * feature levels, operators' settings and metrics.
 */
package graderelay.service;
