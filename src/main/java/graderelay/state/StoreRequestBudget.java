package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket;
import graderelay.net.TokenBucket.Use;
import java.util.function.Consumer;

/**
 * This controller's part of the rates at which the key-value store serves the deployment: requests
 * a second and changes (puts and deletes) a second. The leader has the larger part of both, and the
 * followers share the rest evenly. The leader may lend some of its changes to followers that many
 * users ask.
 */
public final class StoreRequestBudget {
  /** Share of the deployment's request rate that the leader gives itself. */
  private static final double LEADER_REQUESTS = 0.42;

  /** Share of the request rate that the followers have together; the rest is for renewals. */
  private static final double FOLLOWER_REQUESTS = 0.5;

  /** Share of the deployment's change rate that the leader gives itself. */
  private static final double LEADER_CHANGES = 0.7;

  /** Share of the change rate that the followers have together. */
  private static final double FOLLOWER_CHANGES = 0.3;

  /**
   * Requests in whose time at a controller's own rate one catch-up read and one watch may go: a
   * quarter each, so that half is left for what users ask and the leader writes.
   */
  private static final double REQUESTS_PER_READ = 4;

  /** Seconds for which a follower may use what the leader has lent it: a few of its messages. */
  private static final double LOAN_S = 3.5;

  private final Loop loop;
  private final double requestsPerS;
  private double changesPerS;
  private final double reducedChangesPerS;
  private final int followers;
  private final TokenBucket requests;
  private final TokenBucket changes;
  private boolean leader;
  private double changesMade;
  private double borrowedUntil;

  /**
   * The budget of a follower, which every controller is at first.
   *
   * @param requestsPerS requests a second of the whole deployment
   * @param changesPerS changes a second of the whole deployment
   * @param reducedChangesPerS the same once the store has shown that its reduced limits are in
   *     force
   * @param followers controllers that share the followers' part
   */
  StoreRequestBudget(
      Loop loop,
      double requestsPerS,
      double changesPerS,
      double reducedChangesPerS,
      int followers) {
    this.loop = loop;
    this.requestsPerS = requestsPerS;
    this.changesPerS = changesPerS;
    this.reducedChangesPerS = reducedChangesPerS;
    this.followers = Math.max(1, followers);
    this.requests = new TokenBucket(loop, followerRequestsPerS(), followerRequestsPerS());
    this.changes = new TokenBucket(loop, followerChangesPerS(), followerChangesPerS());
  }

  // ---------------------------------------------------------------- shares

  private double followerRequestsPerS() {
    return requestsPerS * FOLLOWER_REQUESTS / followers;
  }

  /** Changes a second of a follower, unless the leader lends it more. */
  double followerChangesPerS() {
    return changesPerS * FOLLOWER_CHANGES / followers;
  }

  /** Changes a second that this controller may make while it leads, before it lends any. */
  public double leaderChangesPerS() {
    return changesPerS * LEADER_CHANGES;
  }

  /** Changes a second that the whole deployment may make. */
  double deploymentChangesPerS() {
    return changesPerS;
  }

  /**
   * Takes the leader's or a follower's share from now on. The leader's is larger: claims must not
   * starve behind what the followers read.
   */
  void setLeader(boolean leader) {
    this.leader = leader;
    requests.rate(leader ? requestsPerS * LEADER_REQUESTS : followerRequestsPerS());
    resetChangeRate();
  }

  private void resetChangeRate() {
    changes.rate(leader ? leaderChangesPerS() : followerChangesPerS());
  }

  // ---------------------------------------------------------------- lending

  /**
   * Lowers the leader's own changes a second by what it lends to followers: what they accept must
   * not wait while it writes final states, many of which go in one change if they wait.
   */
  void lend(double changesPerS) {
    changes.rate(leaderChangesPerS() - changesPerS);
  }

  /** Uses so many changes a second, which the leader has lent to this follower, for some time. */
  void borrow(double changesPerS) {
    changes.rate(Math.max(followerChangesPerS(), changesPerS));
    borrowedUntil = loop.now() + LOAN_S;
    loop.after(LOAN_S, this::endLoan);
  }

  private void endLoan() {
    if (!leader && loop.now() >= borrowedUntil) {
      changes.rate(followerChangesPerS());
    }
  }

  /** Changes made since the last call of this method, and those that wait now. */
  public double takeWantedChanges() {
    double wanted = changesMade + changes.waiting();
    changesMade = 0;
    return wanted;
  }

  // ---------------------------------------------------------------- use

  /** Calls back with true once a request may be sent, or with false if it is refused. */
  void takeRequest(Use use, Consumer<Boolean> done) {
    requests.take(use, 1, done);
  }

  /** Calls back with true once so many changes may be sent, or with false if they are refused. */
  void takeChanges(Use use, int count, Consumer<Boolean> done) {
    changes.take(
        use,
        count,
        granted -> {
          if (granted) {
            changesMade += count;
          }
          done.accept(granted);
        });
  }

  /** Seconds that should lie between reads of one kind, so that they fit this budget. */
  double readIntervalS() {
    return REQUESTS_PER_READ / requests.rate();
  }

  /** The store has refused a call because there were too many: sends nothing for a moment. */
  void onTooManyRequests() {
    requests.penalty();
    changes.penalty();
  }

  /** The store's reduced change rate is in force: all that is sent from now on keeps it. */
  void reduceChangeRate() {
    if (reducedChangesPerS < changesPerS) {
      changesPerS = reducedChangesPerS;
      resetChangeRate();
    }
  }

  /** The tokens of requests. */
  public TokenBucket requestTokens() {
    return requests;
  }

  /** The tokens of changes. */
  public TokenBucket changeTokens() {
    return changes;
  }
}
