package graderelay.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Judges heartbeats, answers to worker commands and lease expiry: what they prove about machines
 * and about the claims on them (the termination proof of an attempt). A claim counts as running
 * until proven gone: it ends here or not at all.
 */
final class HeartbeatMonitor {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final WorkerCommands commands;
  private final FleetPlanner planner;
  private final FailureAttribution failureAttribution;

  HeartbeatMonitor(
      ClusterState cluster, StoredRecords records, WorkerCommands commands, FleetPlanner planner) {
    this.cluster = cluster;
    this.records = records;
    this.commands = commands;
    this.planner = planner;
    this.failureAttribution = new FailureAttribution(cluster, planner);
  }

  long stale;

  /** Machines whose deletion was answered, the last of them. */
  final Set<String> dropped = new LinkedHashSet<>();

  /**
   * Takes what a worker says of itself.
   *
   * @param via the controller that its report came to, or null for an answer to a direct order
   */
  boolean takeHeartbeat(Heartbeat r, String via, double now) {
    boolean checkin = via != null;
    if (dropped.contains(r.machine())) {
      return false; // Held back on the way: the cloud has said that the machine is gone.
    }
    Machine m = cluster.machine(r.machine(), now);
    if (m.reported && !r.newerThan(m.session, m.seq)) {
      takeStale(m, r, checkin);
      return false; // Held back on the way: its list is older than what we know.
    }
    boolean first = !m.reported;
    boolean wasUsable = cluster.usable(m, now);
    if (first || m.type == null || !m.type.equals(r.type())) {
      cluster.locate(m, r.type(), r.zone(), r.spot());
    }
    if (first || r.session() != m.session) {
      m.sessionSeen = now;
      m.neverReap.clear(); // Late orders name their session and are refused now.
    }
    hears(m, r, via, first, now);
    renew(m, r, via, now);
    if (first) {
      m.idleSince = now;
      planner.onUp(m, now);
      cluster.note("machine " + m.name + " reports: " + m.type + " in " + m.zone);
    }
    if (r.noticeS() != null && m.noticeAt == null) {
      m.noticeAt = now + r.noticeS();
      cluster.note("machine " + m.name + " will be taken in " + r.noticeS() + " s");
      commands.drainClaims(m, now);
    }
    learnImages(m, r, now);
    judgeClaims(m, r, checkin, now);
    if (!wasUsable && cluster.usable(m, now)) {
      cluster.roomVersion++;
      cluster.dirty = true;
    }
    return true;
  }

  /** A heartbeat no newer than the last one taken: it proves nothing and renews nothing. */
  private void takeStale(Machine m, Heartbeat r, boolean checkin) {
    stale++;
    if (checkin && r.session() == m.session) {
      // It was sent before the newer one came, so an answer to it renews no further than that.
      m.lastAnswered = Math.max(m.lastAnswered, m.lastReport);
    }
  }

  /** Renews the machine's lease and keeps what the heartbeat says of its worker. */
  private void renew(Machine m, Heartbeat r, String via, double now) {
    if (r.session() != m.session) {
      m.firstAnswered = Double.NaN;
    }
    m.reported = true;
    m.leaseOver = false;
    m.address = r.address();
    m.session = r.session();
    m.seq = r.seq();
    m.seenTerm = Math.max(m.seenTerm, r.term());
    m.lastReport = now;
    m.failedPokes = 0;
    if (via != null) {
      m.via = via;
      m.answeredThere = false;
    }
    m.last = r;
    m.fetching.clear();
  }

  /** Which images the machine is fetching, and which it has now. */
  private void learnImages(Machine m, Heartbeat r, double now) {
    for (Heartbeat.Entry e : r.tasks()) {
      Claim c = m.claims.get(e.task());
      if (c != null && e.stage() == Heartbeat.Stage.FETCHING) {
        m.fetching.add(c.job.spec.image());
      } else if (c != null && (e.why().isEmpty() || e.why().equals("done"))) {
        m.learnImage(c.job.spec.image(), now);
      }
    }
  }

  /** Judges each claim on the machine by what the heartbeat shows of it, or doesn't. */
  private void judgeClaims(Machine m, Heartbeat r, boolean checkin, double now) {
    if (!m.claims.isEmpty()) {
      Map<String, Heartbeat.Entry> shown = shown(r);
      for (Claim c : new ArrayList<>(m.claims.values())) {
        judge(m, c, r, shown.get(reapKey(c.taskId(), c.attempt)), checkin, now);
      }
    }
  }

  /**
   * Does the machine hear us? A report alone doesn't show it: its answers may be lost, and it may
   * be a copy of the past. Nor does the time between two reports, which the deployment chooses and
   * which may be as long as a worker's wait for an answer. What its worker does shows it: one that
   * took an answer stays with that controller, and one that got none goes to the next.
   */
  private void hears(Machine m, Heartbeat r, String via, boolean first, double now) {
    if (first) {
      return;
    }
    boolean same = r.session() == m.session;
    // No other report and no answer to an order lies between; beyond that nothing is known of it.
    boolean next = same && r.seq() == m.seq + 1;
    String why = null;
    if (via != null && m.answeredThere) {
      if (next && !via.equals(m.via)) {
        why = "it went to another controller after our answer";
      } else if (same && r.term() < cluster.firstTerm) {
        why = "it doesn't know the term of our answer";
      } else if (same && ignoresLaunch(m, r)) {
        why = "it doesn't show what our answer told it to start";
      } else if (r.session() > m.session
          && now - m.lastAnswered < cluster.policy.leaseS() / 2
          && (r.term() >= cluster.firstTerm
              || m.lastAnswered - m.firstAnswered > cluster.policy.heartbeatIntervalS() / 2)) {
        // A first answer alone may have come when its lease was over already, as after a takeover.
        why = "its lease ran out although we had just answered";
      }
    }
    boolean took = via == null || r.term() > m.seenTerm || (next && m.answeredThere);
    if (why == null && took) {
      if (m.deafSince != null) {
        cluster.note("machine " + m.name + " hears us again");
      }
      m.deafSince = null;
    } else if (why != null && m.deafSince == null) {
      m.deafSince = now;
      cluster.note("machine " + m.name + " does not hear us: " + why);
    }
  }

  /** True if a start that went with the answer to an earlier report is not in this one. */
  private boolean ignoresLaunch(Machine m, Heartbeat r) {
    Map<String, Heartbeat.Entry> shown = null;
    for (Claim c : m.claims.values()) {
      if (c.launch == Claim.Launch.IN_RESPONSE
          && c.phase == Claim.Phase.HELD
          && c.session == r.session()
          && r.seq() > c.launchSeq) {
        shown = shown == null ? shown(r) : shown;
        if (!shown.containsKey(reapKey(c.taskId(), c.attempt))) {
          return true;
        }
      }
    }
    return false;
  }

  private static Map<String, Heartbeat.Entry> shown(Heartbeat r) {
    Map<String, Heartbeat.Entry> shown = new HashMap<>();
    for (Heartbeat.Entry e : r.tasks()) {
      shown.put(reapKey(e.task(), e.attempt()), e);
    }
    return shown;
  }

  /** What a report proves about one claim on its machine. */
  private void judge(
      Machine m, Claim c, Heartbeat r, Heartbeat.Entry e, boolean checkin, double now) {
    if (c.phase != Claim.Phase.HELD || c.session > r.session()) {
      return;
    }
    if (c.session < r.session()) {
      cluster.note(c.taskId() + " attempt " + c.attempt + " is gone: new session of " + m.name);
      records.end(c, false, now);
      return;
    }
    if (e != null) {
      if (c.launch == Claim.Launch.DIRECT || c.launch == Claim.Launch.DOUBTFUL || c.fromPast) {
        // The order may come once more, late; only an attempt that the worker still knows makes
        // it harmless.
        if (r.term() <= c.launchTerm || c.launch == Claim.Launch.DIRECT) {
          m.neverReap.add(reapKey(c.taskId(), c.attempt));
        }
      }
      c.launch = Claim.Launch.SEEN;
      if (c.stage != e.stage()) {
        c.stage = e.stage();
        c.stageSince = now;
        if (e.stage() == Heartbeat.Stage.RUNNING && c.runningSince == 0) {
          c.runningSince = now;
        }
      }
      if (e.stage() == Heartbeat.Stage.EXITED) {
        exited(m, c, e, now);
      } else if (c.runningSince > 0
          && !c.wellSaid
          && now - c.runningSince > FailureAttribution.GOOD_RUN_S) {
        c.wellSaid = true;
        failureAttribution.good(m, c, now);
      }
      return;
    }
    switch (c.launch) {
      case NONE -> {
        // An earlier leader may have launched it, but its orders are refused now.
        if (c.fromPast && r.term() >= cluster.term) {
          records.end(c, false, now);
        }
      }
      case IN_RESPONSE -> {
        // One report is under way at a time, so this one was sent after the response was taken
        // or dropped.
        if (checkin && r.seq() > c.launchSeq) {
          c.launch = Claim.Launch.NONE;
        }
      }
      case DOUBTFUL -> {
        if (r.term() > c.launchTerm) {
          c.launch = Claim.Launch.NONE; // Fenced: the worker refuses the late order.
        }
      }
      case SEEN -> {
        cluster.note(c.taskId() + " attempt " + c.attempt + " vanished from " + m.name);
        records.end(c, false, now);
      }
      case DIRECT -> {}
    }
    if (c.launch == Claim.Launch.NONE && !c.fromPast && (c.job.stop || c.stopAsked)) {
      records.end(c, false, now);
    }
  }

  static String reapKey(String task, int attempt) {
    return task + "#" + attempt;
  }

  private void exited(Machine m, Claim c, Heartbeat.Entry e, double now) {
    Job j = c.job;
    cluster.note(
        c.taskId()
            + " attempt "
            + c.attempt
            + " on "
            + m.name
            + " exited: "
            + e.why()
            + (e.saved() ? ", saved" : ""));
    cluster.out.add(new Action.Seen(e.why(), -1));
    switch (e.why()) {
      case "done" -> {
        failureAttribution.good(m, c, now);
        if (c.runningSince > 0) {
          planner.onRan(j.spec, now - c.runningSince);
        }
        records.end(c, true, now);
      }
      case "error" -> {
        failureAttribution.failed(m, c, now);
        records.end(c, false, now);
      }
      case "no_room" -> {
        // Something runs there that we don't know of yet; the next reports will show it.
        m.quarantineUntil = Math.max(m.quarantineUntil, now + cluster.policy.heartbeatIntervalS());
        records.end(c, false, now);
      }
      case "unknown" -> {
        j.notBefore = now + FailureAttribution.JOB_BACKOFF_S;
        records.end(c, false, now);
      }
      default -> records.end(c, false, now);
    }
  }

  /** The worker's lease cannot begin later than this answer. */
  void answered(String machine, double now) {
    Machine m = cluster.machines.get(machine);
    if (m != null) {
      m.lastAnswered = now;
      m.firstAnswered = Double.isNaN(m.firstAnswered) ? now : m.firstAnswered;
      m.answeredThere = true;
    }
  }

  /** A worker's lease runs from our last answer, or from the takeover for those of before. */
  void leases(double now) {
    double lease = cluster.policy.leaseS() * (1 + LeaseTiming.DRIFT) + LeaseTiming.LEASE_MARGIN_S;
    for (Machine m : cluster.machines.values()) {
      double from = Math.max(Math.max(m.lastAnswered, m.sessionSeen), cluster.tookOver);
      if (now <= from + lease || (!m.reported && m.claims.isEmpty())) {
        continue;
      }
      // A lease delegate of its zone may have answered it since.
      if (now <= cluster.delegates.renewedUntil(m.zone, now) + lease) {
        continue;
      }
      if (!m.leaseOver) {
        m.leaseOver = true;
        cluster.note("the lease of " + m.name + " is over, " + m.claims.size() + " claims");
      }
      // Also those that committed since: nothing is launched on a machine whose lease is over.
      for (Claim c : new ArrayList<>(m.claims.values())) {
        if (c.phase == Claim.Phase.HELD) {
          records.end(c, false, now);
        }
      }
    }
  }

  void machineGone(Machine m, String why, double now) {
    for (Claim c : new ArrayList<>(m.claims.values())) {
      if (c.phase == Claim.Phase.HELD) {
        cluster.note(c.taskId() + " attempt " + c.attempt + " is gone with " + m.name + ": " + why);
        records.end(c, false, now);
      }
    }
  }

  void onSent(Action.Command cmd, Scheduler.Sent how, Heartbeat report, double now) {
    Machine m = cluster.machines.get(cmd.machine());
    if (m == null) {
      return;
    }
    m.failedPokes =
        how == Scheduler.Sent.EXECUTED || how == Scheduler.Sent.REFUSED ? 0 : m.failedPokes + 1;
    for (WorkerCommand o : cmd.orders()) {
      if (!(o instanceof WorkerCommand.Launch l)) {
        continue;
      }
      Claim c = m.claims.get(l.task());
      boolean same = c != null && c.attempt == l.attempt() && c.session == cmd.session();
      switch (how) {
        case EXECUTED -> {
          m.neverReap.remove(reapKey(l.task(), l.attempt()));
          if (same && c.launch == Claim.Launch.DIRECT) {
            c.launch = Claim.Launch.SEEN;
          }
        }
        case REFUSED, NEVER_LEFT -> {
          m.neverReap.remove(reapKey(l.task(), l.attempt()));
          if (same && c.launch == Claim.Launch.DIRECT) {
            c.launch = Claim.Launch.NONE;
            if (c.job.stop || c.stopAsked) {
              records.end(c, false, now);
            }
          }
        }
        case UNKNOWN -> {
          if (same && c.launch == Claim.Launch.DIRECT) {
            c.launch = Claim.Launch.DOUBTFUL;
          }
        }
      }
    }
    if (report != null && report.machine().equals(cmd.machine())) {
      takeHeartbeat(report, null, now);
    }
  }
}
