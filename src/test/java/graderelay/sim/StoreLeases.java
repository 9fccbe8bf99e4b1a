package graderelay.sim;

import graderelay.net.Loop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The leases of a simulated store: each ends, with its keys, unless it is renewed in time. */
final class StoreLeases {
  private static final class Lease {
    final double lifeS;
    final Set<String> keys = new HashSet<>();
    Loop.Timer timer;

    Lease(double lifeS) {
      this.lifeS = lifeS;
    }
  }

  private final Loop loop;
  private final Consumer<Set<String>> onEnd;
  private final Map<Long, Lease> leases = new HashMap<>();
  private long next = 1;

  /** Creates a table whose leases hand over their keys, if they have any, as they end. */
  StoreLeases(Loop loop, Consumer<Set<String>> onEnd) {
    this.loop = loop;
    this.onEnd = onEnd;
  }

  /** Creates a lease of so many seconds and returns its number. */
  long create(double lifeS) {
    Lease lease = new Lease(lifeS);
    long id = next++;
    leases.put(id, lease);
    arm(id, lease);
    return id;
  }

  /** Gives a lease its whole time again; returns false if there is none. */
  boolean renew(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return false;
    }
    arm(id, lease);
    return true;
  }

  boolean isLive(long id) {
    return leases.containsKey(id);
  }

  /** Ends a lease, if it is live, and hands over its keys. */
  void revoke(long id) {
    Lease lease = leases.remove(id);
    if (lease == null) {
      return;
    }
    lease.timer.cancel();
    if (!lease.keys.isEmpty()) {
      onEnd.accept(lease.keys);
    }
  }

  void attach(long id, String key) {
    leases.get(id).keys.add(key);
  }

  /** From now on a key no longer goes with its lease, if that is live. */
  void detach(long id, String key) {
    Lease lease = leases.get(id);
    if (lease != null) {
      lease.keys.remove(key);
    }
  }

  /** No lease ends any more. */
  void pause() {
    leases.values().forEach(lease -> lease.timer.cancel());
  }

  /** Every lease has its whole time again. */
  void resume() {
    new ArrayList<>(leases.entrySet()).forEach(e -> arm(e.getKey(), e.getValue()));
  }

  private void arm(long id, Lease lease) {
    if (lease.timer != null) {
      lease.timer.cancel();
    }
    lease.timer = loop.schedule(lease.lifeS, () -> revoke(id));
  }
}
