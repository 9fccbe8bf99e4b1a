package graderelay.net;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open connections of an {@link HttpServer}, bounded in number. Connections that are idle or
 * whose request stays incomplete are closed after a timeout. Confined to the event loop.
 */
final class ServerConnections {
  /**
   * Share of the maximum number of connections above which connections are closed, the least
   * recently used first.
   */
  private static final double TARGET_OPEN_SHARE = 0.88;

  /** Interval between two sweeps over all connections. */
  private static final double SWEEP_INTERVAL_S = 2;

  private final Loop clock;
  private final int maxConnections;

  /** Ordered by the time of the last response, or of opening, the least recent first. */
  private final Set<ServerConnection> open = new LinkedHashSet<>();

  private Loop.Timer sweepTimer;

  ServerConnections(Loop clock, int maxConnections) {
    this.clock = clock;
    this.maxConnections = maxConnections;
  }

  /** Returns the number of open connections. */
  int size() {
    return open.size();
  }

  /** Adds a connection; false if the maximum is reached and no connection is idle. */
  boolean add(ServerConnection connection) {
    if (open.size() >= maxConnections && !closeLeastRecentlyUsed()) {
      return false;
    }
    open.add(connection);
    return true;
  }

  /** Removes a connection that has been closed. */
  void remove(ServerConnection connection) {
    open.remove(connection);
  }

  /** Moves a connection to the end of the order after a response. */
  void onResponse(ServerConnection connection) {
    if (open.remove(connection)) {
      open.add(connection);
    }
  }

  /** Stops sweeping. */
  void stopSweeping() {
    if (sweepTimer != null) {
      sweepTimer.cancel();
    }
  }

  /** Closes all connections. */
  void closeAll() {
    for (ServerConnection connection : new ArrayList<>(open)) {
      connection.close();
    }
  }

  /**
   * Closes connections whose request or idle time has timed out, and more of the least recently
   * used ones if there are too many. Repeats every {@link #SWEEP_INTERVAL_S}.
   */
  void sweep() {
    double now = clock.now();
    List<ServerConnection> toClose = new ArrayList<>();
    for (ServerConnection connection : open) {
      if (connection.isRequestTimedOut(now) || connection.isIdleTimedOut(now)) {
        toClose.add(connection);
      }
    }
    addLeastRecentlyUsed(toClose);
    toClose.forEach(ServerConnection::close);
    sweepTimer = clock.schedule(SWEEP_INTERVAL_S, this::sweep);
  }

  /**
   * Adds as many connections that are not processing a request as are needed to reach {@link
   * #TARGET_OPEN_SHARE}.
   */
  private void addLeastRecentlyUsed(List<ServerConnection> toClose) {
    int excess = open.size() - toClose.size() - (int) (maxConnections * TARGET_OPEN_SHARE);
    Iterator<ServerConnection> oldest = open.iterator();
    while (excess > 0 && oldest.hasNext()) {
      ServerConnection connection = oldest.next();
      if (!connection.isHandlingRequest() && !toClose.contains(connection)) {
        toClose.add(connection);
        excess--;
      }
    }
  }

  /** Closes the least recently used idle connection to make room; false if none is idle. */
  private boolean closeLeastRecentlyUsed() {
    for (ServerConnection connection : open) {
      if (connection.isIdle()) {
        open.remove(connection);
        connection.close();
        return true;
      }
    }
    return false;
  }
}
