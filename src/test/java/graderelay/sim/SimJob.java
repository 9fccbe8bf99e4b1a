package graderelay.sim;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A job of a simulated user: what was asked for, and what the user was told. */
public final class SimJob {
  public final String id;
  final int tasks;
  final double cpus;
  final double runS;
  final boolean spot;
  final boolean spread;
  public boolean accepted;

  /** It is of a team without a guarantee or a limit, and of the lowest priority. */
  public boolean guest;

  /** Its team, unless it is a guest's. */
  public String team = "team";

  /** It was submitted with a mistake, so that its tasks fail on every machine. */
  public boolean failing;

  /** The zone that its tasks have to be in, or null. */
  public String zone;

  /** Seconds from its submission within which it should be done, or null. */
  public Double deadlineS;

  /** Jobs that have to be done before it starts. */
  public List<SimJob> dependencies = List.of();

  /** Its user has asked to cancel it. */
  public boolean cancelAsked;

  public double cancelAnswered = Double.NaN;
  public double acceptedAt = Double.NaN;
  public double firstStart = Double.NaN;
  public String lastStage = "";
  final Set<Integer> done = new HashSet<>();

  SimJob(String id, int tasks, double cpus, double runS, boolean spot, boolean spread) {
    this.id = id;
    this.tasks = tasks;
    this.cpus = cpus;
    this.runS = runS;
    this.spot = spot;
    this.spread = spread;
  }

  /** Returns the newest that its user was told: empty, accepted, done or cancelled. */
  String lastAnswer() {
    return lastStage.isEmpty() && accepted ? "accepted" : lastStage;
  }

  /** Returns the team that its claims count for. */
  String chargedTeam() {
    return guest ? "guest" : team;
  }

  /** When its user was told that it, or a job that it depends on, is cancelled; NaN before that. */
  double cancelledBy() {
    double at = cancelAnswered;
    for (SimJob n : dependencies) {
      double by = n.cancelledBy();
      at = Double.isNaN(at) || by < at ? by : at;
    }
    return at;
  }

  /** Its user has asked to cancel it, or a job that it depends on. */
  public boolean cancelWanted() {
    return cancelAsked || dependencies.stream().anyMatch(SimJob::cancelWanted);
  }

  /** Its tasks run until it is cancelled. */
  public boolean service() {
    return runS == 0;
  }

  /** All its tasks have completed. */
  boolean allDone() {
    return done.size() == tasks;
  }
}
