package graderelay.net;

import java.util.function.Consumer;

/** Makes HTTP calls. The one door to the outside, so that tests can put a simulated world there. */
public interface Transport {
  void call(
      String address,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Consumer<Reply> done);
}
