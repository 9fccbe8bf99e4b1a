package graderelay.net;

import java.net.InetSocketAddress;

/** Addresses as the settings and the wire have them. */
final class HostPort {
  private HostPort() {}

  /** The socket address of {@code host:port}; a runtime exception if it is none. */
  static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(host, port);
  }
}
