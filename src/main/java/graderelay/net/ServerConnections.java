package graderelay.net;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open connections of an {@link HttpServer}, bounded in number. Idle ones and those whose
 * request never becomes whole are closed after a while. Used on the event loop only.
 */
final class ServerConnections {
  /** Share of the most connections at which idle ones are closed, the longest idle first. */
  private static final double CONNECTION_SHARE = 0.88;

  /** Seconds between looks at connections. */
  private static final double SWEEP_EVERY_S = 2;

  private final Loop clock;
  private final int mostConnections;

  /** The one that was answered, or opened, longest ago first. */
  private final Set<ServerConnection> open = new LinkedHashSet<>();

  private Loop.Timer sweepTimer;

  ServerConnections(Loop clock, int mostConnections) {
    this.clock = clock;
    this.mostConnections = mostConnections;
  }

  /** The number of open connections. */
  int size() {
    return open.size();
  }

  /** Adds a connection; false if there are as many as there may be, and none of them is idle. */
  boolean add(ServerConnection connection) {
    if (open.size() >= mostConnections && !closeLongestIdle()) {
      return false;
    }
    open.add(connection);
    return true;
  }

  /** Forgets a connection that has been closed. */
  void remove(ServerConnection connection) {
    open.remove(connection);
  }

  /** Moves a connection that was just answered behind those that are idle for longer. */
  void answered(ServerConnection connection) {
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
   * Closes requests that never become whole, idle connections, and more of those if need be; and
   * again every {@link #SWEEP_EVERY_S}.
   */
  void sweep() {
    double now = clock.now();
    List<ServerConnection> toClose = new ArrayList<>();
    for (ServerConnection connection : open) {
      if (connection.isStuck(now) || connection.isIdleForTooLong(now)) {
        toClose.add(connection);
      }
    }
    addLongestIdle(toClose);
    toClose.forEach(ServerConnection::close);
    sweepTimer = clock.after(SWEEP_EVERY_S, this::sweep);
  }

  /** Adds as many that carry no request as are needed to get below the share. */
  private void addLongestIdle(List<ServerConnection> toClose) {
    int excess = open.size() - toClose.size() - (int) (mostConnections * CONNECTION_SHARE);
    Iterator<ServerConnection> oldest = open.iterator();
    while (excess > 0 && oldest.hasNext()) {
      ServerConnection connection = oldest.next();
      if (!connection.isBusy() && !toClose.contains(connection)) {
        toClose.add(connection);
        excess--;
      }
    }
  }

  /** Makes room for one more connection; false if none is idle. */
  private boolean closeLongestIdle() {
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
