package graderelay.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The idle connections of an {@link HttpClient}, and the number of open ones. The platform counts
 * sockets: there are hundreds of workers, and each is called rarely. Used on the event loop only.
 */
final class ConnectionPool {
  /** Idle connections kept to one address. */
  private static final int KEPT_CONNECTIONS = 4;

  private final int mostIdle;
  private final Map<String, Deque<ClientConnection>> idleByAddress = new HashMap<>();

  /** All idle connections, the longest idle first. */
  private final Set<ClientConnection> idleByAge = new LinkedHashSet<>();

  private int open;

  /** Keeps at most so many idle connections, whoever they lead to. */
  ConnectionPool(int mostIdle) {
    this.mostIdle = mostIdle;
  }

  /** Connections that are open now, idle or not. */
  int open() {
    return open;
  }

  /** Takes the connection that was idle for the shortest time; null if there is none. */
  ClientConnection take(String address) {
    Deque<ClientConnection> idle = idleByAddress.get(address);
    while (idle != null && !idle.isEmpty()) {
      ClientConnection connection = idle.pollLast();
      idleByAge.remove(connection);
      if (connection.isActive()) {
        return connection;
      }
    }
    return null;
  }

  /** Keeps an idle connection; false if there are enough to its address. */
  boolean keep(ClientConnection connection) {
    Deque<ClientConnection> idle =
        idleByAddress.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
    if (idle.size() >= KEPT_CONNECTIONS) {
      return false;
    }
    idle.addLast(connection);
    idleByAge.add(connection);
    if (idleByAge.size() > mostIdle) {
      idleByAge.iterator().next().close();
    }
    return true;
  }

  /** Counts a connection that has just been opened. */
  void opened() {
    open++;
  }

  /** Forgets a connection that has been closed, by whichever side. */
  void closed(ClientConnection connection) {
    open--;
    idleByAge.remove(connection);
    Deque<ClientConnection> idle = idleByAddress.get(connection.address());
    if (idle != null) {
      idle.remove(connection);
      if (idle.isEmpty()) {
        idleByAddress.remove(connection.address());
      }
    }
  }
}
