package graderelay.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What workers are told: starts, stops and questions, with the responses to their reports or
 * straight. Nothing is started before its claim has committed.
 */
final class WorkerCommands {
  /** Report intervals without a report after which a machine is no target for new tasks. */
  static final double SILENT_REPORTS = 2.2;

  /** Seconds between repeated direct kills of one task; reports' responses repeat them anyway. */
  private static final double KILL_AGAIN_S = 3;

  /** Seconds on top of the time a task needs to save, for the way to the worker. */
  private static final double SAVE_SLACK_S = 2;

  /** Seconds that a launch of unknown fate may block a stop before the term is raised. */
  private static final double DOUBT_S = 5;

  /** Seconds between raises of the term: workers take a higher one at most twice a lease. */
  private static final double RAISE_PAUSE_S = 8;

  /** Share of those kept from starts of arrays, whose machines' next reports fetch them as well. */
  private static final double DIRECT_FOR_SERVICES = 0.25;

  /** Share of those kept from questions to machines without services. */
  private static final double DIRECT_FOR_ORDERS = 0.5;

  /** Report intervals without a report after which a machine is asked straight. */
  static final double POKE_REPORTS = 1.6;

  /** Seconds between such questions to one machine. */
  private static final double POKE_EVERY_S = 1.2;

  private final ClusterState cluster;
  private final StoredRecords records;

  WorkerCommands(ClusterState cluster, StoredRecords records) {
    this.cluster = cluster;
    this.records = records;
    this.directFilled = cluster.tookOver;
    this.directTokens = cluster.policy.directCommandsPerS();
  }

  /** A body may have 64 KiB: what goes beyond one's share follows with the reports' responses. */
  private static boolean room(List<WorkerCommand> orders) {
    return orders == null || orders.size() < SchedulerLimits.MOST_ORDERS;
  }

  private double directTokens;

  private double directFilled;

  private double lastRaise = Double.NEGATIVE_INFINITY;

  private boolean raising;

  /** Orders for the response to the report that was just taken. */
  List<WorkerCommand> ordersFor(Heartbeat r, double now) {
    Machine m = cluster.machines.get(r.machine());
    List<WorkerCommand> orders = new ArrayList<>();
    if (m == null || m.session != r.session() || m.seq != r.seq()) {
      return orders;
    }
    for (Heartbeat.Entry e : r.tasks()) {
      Claim c = m.claims.get(e.task());
      boolean ours = c != null && c.attempt == e.attempt() && c.session == m.session;
      if (!ours) {
        if (e.stage() != Heartbeat.Stage.EXITED) {
          orders.add(new WorkerCommand.Kill(e.task(), e.attempt(), 0));
        } else if (!m.neverReap.contains(HeartbeatMonitor.reapKey(e.task(), e.attempt()))) {
          orders.add(new WorkerCommand.Reap(e.task(), e.attempt()));
        }
      } else if (e.stage() != Heartbeat.Stage.EXITED) {
        WorkerCommand.Kill kill = killOf(c, now);
        if (kill != null) {
          orders.add(kill);
        }
      }
    }
    for (Claim c : m.claims.values()) {
      boolean open = c.launch == Claim.Launch.NONE || c.launch == Claim.Launch.DOUBTFUL;
      if (open && launchable(m, c)) {
        orders.add(new WorkerCommand.Launch(c.taskId(), c.attempt));
        if (c.launch == Claim.Launch.NONE) {
          c.launch = Claim.Launch.IN_RESPONSE;
          c.launchSeq = r.seq();
          c.launchTerm = cluster.term;
          c.launchAt = now;
        }
      }
    }
    return orders;
  }

  /** A start needs a committed claim of this session and no stop request. */
  private boolean launchable(Machine m, Claim c) {
    return c.phase == Claim.Phase.HELD
        && !c.fromPast
        && c.session == m.session
        && !c.job.stop
        && !c.stopAsked
        && !m.returning;
  }

  private WorkerCommand.Kill killOf(Claim c, double now) {
    if (c.job.stop) {
      return new WorkerCommand.Kill(c.taskId(), c.attempt, 0);
    }
    if (!c.stopAsked) {
      return null;
    }
    JobSpec s = c.job.spec;
    if (c.hardStop || s.checkpointS() <= 0) {
      return new WorkerCommand.Kill(c.taskId(), c.attempt, 0);
    }
    double grace = s.saveS() + SAVE_SLACK_S;
    if (c.stage == Heartbeat.Stage.SAVING) {
      return now - c.stageSince > 2 * grace
          ? new WorkerCommand.Kill(c.taskId(), c.attempt, 0)
          : null;
    }
    return new WorkerCommand.Kill(c.taskId(), c.attempt, grace);
  }

  void stopClaims(Job j, double now) {
    for (Claim c : new ArrayList<>(j.claims.values())) {
      if (c.neverLaunched()) {
        records.end(c, false, now);
      }
    }
    kill(j.claims.values(), now);
  }

  void drainClaims(Machine m, double now) {
    for (Claim c : new ArrayList<>(m.claims.values())) {
      if (!c.stopAsked && c.phase != Claim.Phase.SETTLING) {
        cluster.askStop(c, now);
      }
      if (c.neverLaunched()) {
        records.end(c, false, now);
      }
    }
    kill(m.claims.values(), now);
  }

  /** Sends kills straight away; reports' responses repeat them. */
  void kill(Collection<Claim> claims, double now) {
    Map<Machine, List<WorkerCommand>> byMachine = new LinkedHashMap<>();
    for (Claim c : claims) {
      Machine m = cluster.machines.get(c.machine);
      if (c.phase != Claim.Phase.HELD
          || m == null
          || m.address == null
          || c.session != m.session
          || c.stage == Heartbeat.Stage.EXITED
          || now - m.lastReport > cluster.policy.heartbeatIntervalS() * SILENT_REPORTS) {
        continue;
      }
      WorkerCommand.Kill k = killOf(c, now);
      if (k != null
          && now - c.killAt > KILL_AGAIN_S
          && room(byMachine.get(m))
          && (byMachine.containsKey(m) || direct(now, 0))) {
        c.killAt = now;
        byMachine.computeIfAbsent(m, x -> new ArrayList<>()).add(k);
      }
    }
    send(byMachine);
  }

  private void send(Map<Machine, List<WorkerCommand>> byMachine) {
    byMachine.forEach(
        (m, orders) ->
            cluster.out.add(
                new Action.Command(m.name, m.address, m.session, cluster.term, orders)));
  }

  void killPreempted(double now) {
    if (cluster.stopping.isEmpty()) {
      return;
    }
    List<Claim> asked = new ArrayList<>();
    for (Claim c : cluster.stopping) {
      if (c.phase == Claim.Phase.HELD && !c.job.stop) {
        asked.add(c);
      }
    }
    for (Claim c : asked) {
      if (c.neverLaunched()) {
        records.end(c, false, now);
      }
    }
    kill(asked, now);
  }

  void launchCommitted(double now) {
    Map<Machine, List<WorkerCommand>> byMachine = new LinkedHashMap<>();
    // Services first, should there be too many for now: users wait for them most.
    records.committed.sort(Comparator.comparing(c -> !c.job.spec.isService()));
    for (Claim c : records.committed) {
      Machine m = cluster.machines.get(c.machine);
      if (c.phase != Claim.Phase.HELD || m == null || m.claims.get(c.taskId()) != c) {
        continue;
      }
      if (c.session < m.session || c.job.stop || c.stopAsked || m.returning || m.failed) {
        records.end(c, false, now);
        continue;
      }
      boolean near =
          m.address != null
              && now - m.lastReport <= cluster.policy.heartbeatIntervalS() * SILENT_REPORTS
              && !m.leaseOver;
      boolean go = near && launchable(m, c) && c.launch == Claim.Launch.NONE;
      double reserve = c.job.spec.isService() ? 0 : DIRECT_FOR_SERVICES;
      if (go && room(byMachine.get(m)) && (byMachine.containsKey(m) || direct(now, reserve))) {
        cluster.note(
            "start "
                + c.taskId()
                + " attempt "
                + c.attempt
                + " on "
                + m.name
                + " with term "
                + cluster.term
                + (m.warm(c.job.spec.image()) ? "" : ", image to be fetched"));
        cluster.out.add(new Action.Seen("started", now - c.job.waitingSince));
        c.launch = Claim.Launch.DIRECT;
        c.launchTerm = cluster.term;
        c.launchAt = now;
        byMachine
            .computeIfAbsent(m, x -> new ArrayList<>())
            .add(new WorkerCommand.Launch(c.taskId(), c.attempt));
      }
    }
    records.committed.clear();
    send(byMachine);
  }

  /**
   * True if an order may be sent straight to a worker now. Each costs a connection and its answer;
   * beyond the rate the orders go with the responses to reports, which come in any case.
   */
  private boolean direct(double now, double reserve) {
    double rate = cluster.policy.directCommandsPerS();
    directTokens = Math.min(rate, directTokens + (now - directFilled) * rate);
    directFilled = now;
    if (directTokens < 1 + reserve * rate) {
      return false;
    }
    directTokens--;
    return true;
  }

  /**
   * Asks machines straight that we have not heard of. After a takeover that shows at once what runs
   * there, and the worker learns our term and looks for us; later, no answer to it is a sign that
   * the machine is gone.
   */
  void pokes(double now) {
    // Those with services first: their replicas are down until we know.
    for (boolean services : new boolean[] {true, false}) {
      for (Machine m : cluster.machines.values()) {
        if (m.services.cpus() > 0 == services) {
          poke(m, now);
        }
      }
    }
  }

  private void poke(Machine m, double now) {
    // Most report by themselves within an interval of the takeover.
    boolean unheard =
        !m.reported
            && !m.claims.isEmpty()
            && now - cluster.tookOver > cluster.policy.heartbeatIntervalS() / 2;
    boolean deaf = m.deafSince != null;
    boolean silent =
        m.reported && now - m.lastReport > cluster.policy.heartbeatIntervalS() * POKE_REPORTS;
    double reserve = m.services.cpus() > 0 ? DIRECT_FOR_SERVICES : DIRECT_FOR_ORDERS;
    if (m.address == null
        || m.leaseOver
        || m.returning
        || !(unheard || silent || deaf)
        || now - m.lastPoke < POKE_EVERY_S
        || !direct(now, reserve)) {
      return;
    }
    long session = m.session;
    for (Claim c : m.claims.values()) {
      session = Math.max(session, c.session);
    }
    m.lastPoke = now;
    cluster.out.add(new Action.Command(m.name, m.address, session, cluster.term, List.of()));
  }

  /** Fences launches of unknown fate that stand in the way of an end, by a new term. */
  void doubts(double now) {
    if (raising || now - lastRaise < RAISE_PAUSE_S) {
      return;
    }
    for (Machine m : cluster.machines.values()) {
      for (Claim c : m.claims.values()) {
        boolean blocked = c.job.stop || c.stopAsked;
        if (c.phase == Claim.Phase.HELD
            && c.launch == Claim.Launch.DOUBTFUL
            && blocked
            && now - c.launchAt > DOUBT_S
            && c.launchTerm == cluster.term) {
          raising = true;
          lastRaise = now;
          cluster.note("raising the term: a launch of " + c.taskId() + " is of unknown fate");
          cluster.out.add(new Action.RaiseTerm());
          return;
        }
      }
    }
  }

  /** The term was raised, or could not be. */
  void onTerm(long newTerm, double now) {
    raising = false;
    if (newTerm > cluster.term) {
      cluster.term = newTerm;
      lastRaise = now;
    }
  }

  /** True while a new term is asked for, in which nothing is claimed. */
  boolean raising() {
    return raising;
  }
}
