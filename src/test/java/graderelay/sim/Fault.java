package graderelay.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One fault of a random day.
 *
 * @param at seconds from the day's beginning
 * @param length seconds, for faults that last
 * @param pick a number that chooses whom and how
 */
public record Fault(Kind kind, double at, double length, int pick) {
  /** What goes wrong. */
  public enum Kind {
    CONTROLLER_CRASH,
    /** A controller ends and is back within a fraction of a second. */
    CONTROLLER_RESTART_AT_ONCE,
    LEADER_CRASH,
    ALL_CONTROLLERS_CRASH,
    MACHINE_CUT_OFF,
    MACHINE_CUT_OFF_FROM_LEADER,
    CONTROLLER_CUT_OFF_FROM_STATE,
    CONTROLLERS_CUT_OFF_FROM_EACH_OTHER,
    STATE_OUTAGE,
    STATE_REFUSES_ONE,
    TRANSACTIONS_LATE,
    ANSWERS_LOST,
    MACHINE_TAKEN,
    MACHINE_FAILS_TASKS,
    STATE_REFUSES_LEADER,
    MANY_TRANSACTIONS_LATE,
    MACHINE_DEAF,
    HEARTBEATS_COPIED,
    CONTROLLER_ISOLATED,
    LEADER_ISOLATED,
    RESTART_AMID_ELECTION,
    ZONE_CUT_OFF,
    CONTROLLER_AWAY,
    CONTROLLER_AWAY_IN_OUTAGE,
    SLOW_BOOTS,
    FAILED_BOOTS,
    INSTANT_BOOTS,
    POLL_STORM,
    /** The leader is refused, jobs are cancelled elsewhere, then the store is out. */
    CANCELLED_BETWEEN_REFUSAL_AND_OUTAGE,
    SOME_TRANSACTIONS_LATE,
    TRANSACTION_ANSWERS_LOST,
    HEARTBEATS_KEPT_FOR_NEXT_LEADER,
    MACHINES_MUTE,
    MACHINES_HANG,
    JOBS_CANCELLED,
    JOBS_CANCELLED_AS_THEY_END,
    CLOSE_LOOKS,
    LEADERS_CHANGE,
    STATE_SLOW
  }

  /** The kinds that a day draws from; what stands twice comes twice as often. */
  private static final List<Kind> DRAWN =
      List.of(
          Kind.CONTROLLER_CRASH,
          Kind.CONTROLLER_CRASH,
          Kind.CONTROLLER_RESTART_AT_ONCE,
          Kind.LEADER_CRASH,
          Kind.ALL_CONTROLLERS_CRASH,
          Kind.MACHINE_CUT_OFF,
          Kind.MACHINE_CUT_OFF_FROM_LEADER,
          Kind.CONTROLLER_CUT_OFF_FROM_STATE,
          Kind.CONTROLLERS_CUT_OFF_FROM_EACH_OTHER,
          Kind.STATE_OUTAGE,
          Kind.STATE_REFUSES_ONE,
          Kind.TRANSACTIONS_LATE,
          Kind.ANSWERS_LOST,
          Kind.MACHINE_TAKEN,
          Kind.MACHINE_FAILS_TASKS,
          Kind.STATE_REFUSES_LEADER,
          Kind.MANY_TRANSACTIONS_LATE,
          Kind.MACHINE_DEAF,
          Kind.HEARTBEATS_COPIED,
          Kind.CONTROLLER_ISOLATED,
          Kind.LEADER_ISOLATED,
          Kind.RESTART_AMID_ELECTION,
          Kind.ZONE_CUT_OFF,
          Kind.ZONE_CUT_OFF,
          Kind.CONTROLLER_AWAY,
          Kind.CONTROLLER_AWAY_IN_OUTAGE,
          Kind.CONTROLLER_AWAY_IN_OUTAGE,
          Kind.SLOW_BOOTS,
          Kind.FAILED_BOOTS,
          Kind.INSTANT_BOOTS,
          Kind.POLL_STORM,
          Kind.CANCELLED_BETWEEN_REFUSAL_AND_OUTAGE,
          Kind.CANCELLED_BETWEEN_REFUSAL_AND_OUTAGE,
          Kind.SOME_TRANSACTIONS_LATE,
          Kind.TRANSACTION_ANSWERS_LOST,
          Kind.HEARTBEATS_KEPT_FOR_NEXT_LEADER,
          Kind.MACHINES_MUTE,
          Kind.MACHINES_HANG,
          Kind.JOBS_CANCELLED,
          Kind.JOBS_CANCELLED,
          Kind.JOBS_CANCELLED_AS_THEY_END,
          Kind.CLOSE_LOOKS,
          Kind.LEADERS_CHANGE,
          Kind.STATE_SLOW);

  /** The faults of a day of so many seconds, some of them in pairs that meet. */
  public static List<Fault> day(long seed, double seconds) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    int count = 3 + random.nextInt(9);
    for (int i = 0; i < count; i++) {
      double at = 15 + random.nextDouble() * (seconds - 30);
      faults.add(draw(random, at));
      if (random.nextBoolean()) {
        faults.add(draw(random, at + random.nextDouble() * 4));
      }
    }
    return faults;
  }

  private static Fault draw(SplittableRandom random, double at) {
    return new Fault(
        DRAWN.get(random.nextInt(DRAWN.size())),
        at,
        0.5 + random.nextDouble() * (random.nextInt(3) == 0 ? 40 : 8),
        random.nextInt(1000));
  }
}
