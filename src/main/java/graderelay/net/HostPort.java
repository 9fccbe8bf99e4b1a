package graderelay.net;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code host:port}, as used in settings and messages. */
final class HostPort {
  private HostPort() {}

  /**
   * Returns the socket address of {@code host:port}; throws a runtime exception if the text is
   * malformed.
   */
  static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(host, port);
  }
}
