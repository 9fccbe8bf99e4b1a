package graderelay.net;

import java.util.function.Consumer;

/**
 * Makes HTTP calls. All calls of a controller to other processes go through this interface, so that
 * tests can substitute a simulated network.
 */
public interface Transport {
  /**
   * Makes a call. Must be called on the event loop; {@code onReply} runs there exactly once, at the
   * latest after the timeout.
   *
   * @param address the server as host:port
   * @param path the path, with the query string if there is one
   * @param body the request body in JSON or CBOR, or null if there is none
   * @param timeoutS timeout of the call in seconds
   */
  void call(
      String address,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Consumer<Reply> onReply);
}
