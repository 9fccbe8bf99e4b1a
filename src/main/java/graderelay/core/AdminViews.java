package graderelay.core;

import graderelay.quota.Amount;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Answers the administration API's questions on machines, teams and jobs for {@link Scheduler}. */
final class AdminViews {
  private final ClusterState world;

  AdminViews(ClusterState world) {
    this.world = world;
  }

  List<Scheduler.MachineView> machines(double now) {
    List<Scheduler.MachineView> views = new ArrayList<>();
    for (Machine m : world.machines.values()) {
      String state =
          m.returning
              ? "returning"
              : !m.reported
                  ? "booting"
                  : m.leaseOver
                      ? "silent"
                      : m.noticeAt != null
                          ? "noticed"
                          : m.drain || m.operatorDrain
                              ? "draining"
                              : m.cordoned ? "cordoned" : "up";
      if (state.equals("up") && now < m.quarantineUntil) {
        state = "quarantined";
      }
      views.add(
          new Scheduler.MachineView(
              m.name,
              m.type,
              m.zone,
              m.spot,
              state,
              m.claims.size(),
              m.used.cpus(),
              m.room.cpus(),
              now - m.lastReport));
    }
    return views;
  }

  /** How a team stands; for the administration API. */
  Scheduler.TeamUsage teamUsage(String team) {
    long tasks = 0;
    Amount waiting = Amount.NONE;
    for (Job j : world.jobs.values()) {
      if (j.waiting() && j.spec.team().equals(team)) {
        tasks += j.open.cardinality();
        waiting = waiting.plus(j.amount.times(j.open.cardinality()));
      }
    }
    return new Scheduler.TeamUsage(world.admission.standing(team), tasks, waiting);
  }

  /** Why a job has tasks that wait, or null if it is not known or has none. */
  String whyWaiting(String job) {
    Job j = world.jobs.get(job);
    if (j != null && j.blocked() && !j.stop) {
      return "it needs " + String.join(", ", new TreeSet<>(j.needed));
    }
    return j == null || !j.waiting() ? null : j.waitReason;
  }
}
