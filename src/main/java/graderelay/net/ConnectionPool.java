package graderelay.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The idle connections of an {@link HttpClient}, and the number of open connections. Idle
 * connections are bounded because the deployment limits the number of sockets, and there are
 * hundreds of workers, each of which is called rarely. Confined to the event loop.
 */
final class ConnectionPool {
  /** Maximum number of idle connections to one address. */
  private static final int MAX_IDLE_PER_ADDRESS = 4;

  private final int maxIdleConnections;
  private final Map<String, Deque<ClientConnection>> idleByAddress = new HashMap<>();

  /** All idle connections, the one that has been idle for longest first. */
  private final Set<ClientConnection> idleOldestFirst = new LinkedHashSet<>();

  private int openCount;

  /**
   * Creates a pool.
   *
   * @param maxIdleConnections maximum number of idle connections to all addresses together
   */
  ConnectionPool(int maxIdleConnections) {
    this.maxIdleConnections = maxIdleConnections;
  }

  /** Returns the number of open connections, idle or in use. */
  int openCount() {
    return openCount;
  }

  /**
   * Removes and returns the most recently used idle connection to an address, or null if there is
   * none.
   */
  ClientConnection acquire(String address) {
    Deque<ClientConnection> idle = idleByAddress.get(address);
    while (idle != null && !idle.isEmpty()) {
      ClientConnection connection = idle.pollLast();
      idleOldestFirst.remove(connection);
      if (connection.isActive()) {
        return connection;
      }
    }
    return null;
  }

  /**
   * Returns a connection to the pool. False if the pool already holds the maximum for its address;
   * the caller then closes the connection.
   */
  boolean release(ClientConnection connection) {
    Deque<ClientConnection> idle =
        idleByAddress.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
    if (idle.size() >= MAX_IDLE_PER_ADDRESS) {
      return false;
    }
    idle.addLast(connection);
    idleOldestFirst.add(connection);
    if (idleOldestFirst.size() > maxIdleConnections) {
      idleOldestFirst.iterator().next().close();
    }
    return true;
  }

  /** Counts a newly opened connection. */
  void onConnectionOpened() {
    openCount++;
  }

  /** Removes a connection that either side has closed. */
  void onConnectionClosed(ClientConnection connection) {
    openCount--;
    idleOldestFirst.remove(connection);
    Deque<ClientConnection> idle = idleByAddress.get(connection.address());
    if (idle != null) {
      idle.remove(connection);
      if (idle.isEmpty()) {
        idleByAddress.remove(connection.address());
      }
    }
  }
}
