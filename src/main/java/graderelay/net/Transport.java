package graderelay.net;

import java.util.function.Consumer;

/**
 * Makes HTTP calls. All of a controller's calls to other processes pass through it, so that tests
 * can put a simulated network there.
 */
public interface Transport {
  /**
   * Makes a call from the event loop; calls {@code done} on it once, at the latest after the
   * timeout.
   *
   * @param address host:port
   * @param path with the query, if any
   * @param body JSON or CBOR, or null for none
   * @param timeoutS seconds after which the call is given up
   */
  void call(
      String address,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Consumer<Reply> done);
}
