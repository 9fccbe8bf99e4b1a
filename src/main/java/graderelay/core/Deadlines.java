package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * How many CPUs the arrays need to be in time: work by deadline, summed up, over the time that is
 * left. Owners' estimates are often wrong, on some days all in one way, so they are corrected by
 * what tasks of the class really took.
 */
final class Deadlines {
  /** Times its expected run time before its deadline from which a job stops others' work. */
  private static final double LEISURE_RUNS = 1.5;

  /** Share of the weight that older run times keep with each new one. */
  private static final double RATIO_MEMORY = 0.98;

  /** Seconds that a task without an estimate is taken to run. */
  private static final double UNKNOWN_RUN_S = 60;

  /** Seconds before a deadline at which work should be done: fetches, reports and the poll. */
  private static final double DEADLINE_MARGIN_S = 8;

  /** Times its own time to the deadline that a late job steps back for others at most. */
  private static final double OVERDUE_SPANS = 2;

  /** Share of the rented CPUs that tasks of uneven size can fill. */
  private static final double PACKING = 0.85;

  /**
   * Times the slowest nominal boot beyond which a wanted wait leaves time to rent for it when it
   * presses: some machines take several times as long.
   */
  private static final double PATIENT_BOOTS = 3;

  /**
   * Times the work that patient jobs of a class with a wanted wait are counted as: bursts come
   * while machines boot, and a late start costs more than a machine that stands idle for a minute.
   */
  private static final double HURRIED_WORK = 1.5;

  /** Seconds in which running work is counted at most when nothing presses. */
  private static final double PATIENT_S = 60;

  private static final class Ratio {
    double sum = 1;
    double count = 1;
  }

  private record Due(double at, double work, double estimate) {}

  private final ClusterState cluster;
  private final Map<String, Ratio> ratios = new HashMap<>();

  Deadlines(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** A task has run to its end in so many seconds. */
  void onRan(JobSpec spec, double seconds) {
    if (spec.estimateS() <= 0) {
      return;
    }
    Ratio r = ratios.computeIfAbsent(spec.jobClass(), c -> new Ratio());
    // Older ones fade, so that a change of habit shows.
    r.sum = r.sum * RATIO_MEMORY + Math.min(4, seconds / spec.estimateS());
    r.count = r.count * RATIO_MEMORY + 1;
  }

  /** Expected run time of a task, in seconds: the leader's estimate, corrected by the class. */
  double estimate(JobSpec s) {
    Ratio r = ratios.get(s.jobClass());
    double e = s.estimateS() > 0 ? s.estimateS() : UNKNOWN_RUN_S;
    return r == null ? e : e * r.sum / r.count;
  }

  /**
   * True if the job may wait for spot machines as long as its deadline is kept. A wanted time to
   * its first start is no reason against it if a scale out can bring machines up well within that.
   */
  boolean patient(Job j) {
    return patient(j.spec, j.hasDue());
  }

  /** As {@link #patient(Job)}, for a job of this spec that has a due time if it has a deadline. */
  boolean patient(JobSpec s) {
    return patient(s, s.deadlineS() != null);
  }

  private boolean patient(JobSpec s, boolean due) {
    if (s.isService() || !s.spot() || !due) {
      return false;
    }
    Double wait = cluster.policy.startObjectivesS().get(s.jobClass());
    return wait == null || wait > PATIENT_BOOTS * BootTimes.slowestNominal(cluster);
  }

  /** True if more than its deadline is wanted of the class: a first start, or an end, by a time. */
  private boolean hurried(JobSpec s) {
    return cluster.policy.startObjectivesS().containsKey(s.jobClass())
        || cluster.policy.completionObjectivesS().containsKey(s.jobClass());
  }

  /**
   * By when the job's work should be done. Of hurried work that is the next wanted time that can
   * still be met, and when none can, soon: an overdue job is to run as well, and must not wait on a
   * fleet that is made smaller since nothing presses.
   */
  private double dueAt(Job j, double estimate, double now) {
    JobSpec s = j.spec;
    double whole = j.dueAt();
    if (!hurried(s)) {
      return whole;
    }
    double next = now + PATIENT_S + DEADLINE_MARGIN_S + estimate * 0.5;
    Double wait = cluster.policy.startObjectivesS().get(s.jobClass());
    Double finish = cluster.policy.completionObjectivesS().get(s.jobClass());
    double[] wanted = {
      wait == null || j.open.isEmpty() ? whole : j.submittedAt + wait + estimate,
      finish == null ? whole : j.submittedAt + finish,
      whole
    };
    double due = Double.MAX_VALUE;
    for (double w : wanted) {
      if (w - now - DEADLINE_MARGIN_S > estimate) {
        due = Math.min(due, w);
      }
    }
    return due == Double.MAX_VALUE ? next : due;
  }

  private record Part(Job job, double due, double seconds, double estimate) {}

  /**
   * Jobs that should wait for others of their team, so that as few as possible are late: where a
   * team's limit or the fleet can't do everything in time, running by deadline alone makes one job
   * late after the other. By deadline, whenever the sum is too long, the longest steps back.
   */
  Set<Job> steppingBack(double fleetCpus, double now) {
    Map<String, List<Part>> teams = new HashMap<>();
    for (Job j : cluster.jobs.values()) {
      JobSpec s = j.spec;
      if (!s.isService() && j.hasDue() && !j.stop && !j.suspect && !j.complete() && !j.blocked()) {
        teams.computeIfAbsent(s.team(), t -> new ArrayList<>()).add(part(j, now));
      }
    }
    Set<Job> back = new HashSet<>();
    for (var e : teams.entrySet()) {
      double rate = Math.min(fleetCpus, leftForArrays(e.getKey()));
      if (rate > 0) {
        stepBack(e.getValue(), rate, now, back);
      }
    }
    return back;
  }

  /**
   * Jobs that may wait for room to come free instead of stopping others' work for it: they have a
   * deadline, with time left for their tasks to run once and half again, and nothing else is wanted
   * of their class.
   */
  Set<Job> atLeisure(double now) {
    Set<Job> jobs = new HashSet<>();
    for (Job j : cluster.jobs.values()) {
      if (!j.waiting() || j.spec.isService() || !j.hasDue() || hurried(j.spec)) {
        continue;
      }
      double due = j.dueAt() - DEADLINE_MARGIN_S;
      if (now + estimate(j.spec) * LEISURE_RUNS < due && !QueueOrder.waitingWins(j, now)) {
        jobs.add(j);
      }
    }
    return jobs;
  }

  /** CPUs that a team's limit leaves beside its services; without a limit, any number. */
  private double leftForArrays(String team) {
    Team t = cluster.policy.team(team);
    if (t == null || t.cpusMax() <= 0) {
      return Double.MAX_VALUE;
    }
    double left = t.cpusMax();
    for (Job j : cluster.jobs.values()) {
      if (j.spec.isService() && j.spec.team().equals(team)) {
        left -= j.claims.size() * j.spec.cpus();
      }
    }
    return left;
  }

  private Part part(Job j, double now) {
    double estimate = estimate(j.spec);
    double due = j.dueAt() - DEADLINE_MARGIN_S;
    return new Part(j, due, remaining(j, estimate, now), estimate);
  }

  private static double remaining(Job j, double estimate, double now) {
    double work = j.open.cardinality() * estimate * j.spec.cpus();
    for (Claim c : j.claims.values()) {
      double ran = c.runningSince > 0 ? now - c.runningSince : 0;
      work += Math.max(estimate - ran, estimate * 0.25) * j.spec.cpus();
    }
    return work;
  }

  private static void stepBack(List<Part> parts, double rate, double now, Set<Job> back) {
    parts.sort(Comparator.comparingDouble(Part::due));
    PriorityQueue<Part> taken =
        new PriorityQueue<>(Comparator.comparingDouble((Part p) -> -p.seconds()));
    double work = 0;
    for (Part p : parts) {
      double span = p.job().dueAt() - p.job().acceptedAt;
      if (now > p.due() + OVERDUE_SPANS * span) {
        continue; // Stepped back for long enough: it goes first now.
      }
      taken.add(p);
      work += p.seconds();
      while (!taken.isEmpty() && now + work / rate + p.estimate() * 0.5 > p.due()) {
        Part longest = taken.poll();
        work -= longest.seconds();
        back.add(longest.job());
        if (longest == p) {
          break;
        }
      }
    }
  }

  /**
   * CPUs with which all patient work would be in time. A job that can't be in time any more adds
   * its work but no hurry.
   */
  double neededCpus(Set<Job> back, double now) {
    double running = 0;
    List<Due> all = new ArrayList<>();
    Map<String, List<Due>> byTeam = new HashMap<>();
    double total = 0;
    for (Job j : cluster.jobs.values()) {
      JobSpec s = j.spec;
      if (!patient(j) || j.stop || j.suspect || j.blocked()) {
        continue;
      }
      double estimate = estimate(s);
      double work = remaining(j, estimate, now);
      if (hurried(s)) {
        work *= HURRIED_WORK; // It has more than its deadline to meet.
      }
      total += work;
      running += j.claims.size() * s.cpus();
      if (hurried(s) || !back.contains(j)) {
        Due d = new Due(dueAt(j, estimate, now), work, estimate);
        all.add(d);
        byTeam.computeIfAbsent(s.team(), t -> new ArrayList<>()).add(d);
      }
    }
    double capped = 0;
    for (var e : byTeam.entrySet()) {
      // More than the team's limit leaves would stand idle.
      capped += Math.min(press(e.getValue(), now), leftForArrays(e.getKey()));
    }
    double need = Math.min(press(all, now), capped);
    return Math.max(need, Math.min(running, total / PATIENT_S)) / PACKING;
  }

  /** CPUs with which the work of each deadline and all before it is done in time. */
  private static double press(List<Due> dues, double now) {
    dues.sort(Comparator.comparingDouble(Due::at));
    double sum = 0;
    double need = 0;
    for (Due d : dues) {
      sum += d.work();
      // The last wave of tasks has to start this long before the deadline.
      double slack = d.at() - now - d.estimate() * 0.5 - DEADLINE_MARGIN_S;
      if (slack > d.estimate() * 0.5) {
        need = Math.max(need, sum / slack);
      }
    }
    return need;
  }
}
