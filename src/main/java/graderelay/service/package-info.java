/**
 * One controller as a whole: {@link graderelay.service.ControllerComponents} makes its parts and
 * connects them; {@link graderelay.service.ControllerNode} starts and ends them; {@link
 * graderelay.service.LeaderLifecycle} runs a {@link graderelay.service.LeaderTerm} while the
 * controller leads, in which the core decides and {@link graderelay.service.LeaderActionExecutor}
 * carries out; the rest are request routing, feature levels, operators' settings and metrics.
 */
package graderelay.service;
