package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket;
import graderelay.net.TokenBucket.CallPriority;
import java.util.function.Consumer;

/**
 * This controller's share of the rate limits of the key-value store, which apply to the whole
 * deployment: requests per second and changes (puts and deletes) per second. The leader has the
 * largest share of changes and a large share of requests; the followers split theirs evenly. The
 * leader may lend some of its change rate to followers that receive many user requests.
 */
public final class StoreRequestBudget {
  /** The leader's share of the deployment's request rate. */
  private static final double LEADER_REQUEST_SHARE = 0.42;

  /** Share of the request rate of all followers together; the remainder is for lease renewals. */
  private static final double FOLLOWER_REQUEST_SHARE = 0.5;

  /** The leader's share of the deployment's change rate. */
  private static final double LEADER_CHANGE_SHARE = 0.7;

  /** Share of the change rate of all followers together. */
  private static final double FOLLOWER_CHANGE_SHARE = 0.3;

  /**
   * Requests per catch-up read and per watch. Each uses at most a quarter of a controller's request
   * rate, which leaves half of it for user requests and for the leader's writes.
   */
  private static final double REQUESTS_PER_READ = 4;

  /** Seconds for which a loan is valid: a few intervals of the leader's messages that renew it. */
  private static final double LOAN_DURATION_S = 3.5;

  private final Loop loop;
  private final double requestsPerS;
  private double changesPerS;
  private final double reducedChangesPerS;
  private final int followers;
  private final TokenBucket requestTokens;
  private final TokenBucket changeTokens;
  private boolean isLeader;
  private double changesMade;
  private double borrowedUntil;

  /**
   * Creates the budget of a follower, which every controller is at first.
   *
   * @param requestsPerS requests per second of the whole deployment
   * @param changesPerS changes per second of the whole deployment
   * @param reducedChangesPerS the same once the store's reduced limits are in force
   * @param followers number of controllers that split the followers' share
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
    this.requestTokens = new TokenBucket(loop, followerRequestsPerS(), followerRequestsPerS());
    this.changeTokens = new TokenBucket(loop, followerChangesPerS(), followerChangesPerS());
  }

  // ---------------------------------------------------------------- shares

  private double followerRequestsPerS() {
    return requestsPerS * FOLLOWER_REQUEST_SHARE / followers;
  }

  /** Changes per second of a follower, unless the leader lends it more. */
  double followerChangesPerS() {
    return changesPerS * FOLLOWER_CHANGE_SHARE / followers;
  }

  /** Changes per second of the leader, before it lends any. */
  public double leaderChangesPerS() {
    return changesPerS * LEADER_CHANGE_SHARE;
  }

  /** Changes per second of the whole deployment. */
  double deploymentChangesPerS() {
    return changesPerS;
  }

  /**
   * Switches to the share of the leader or of a follower. The leader's is larger, so that reads by
   * the followers don't starve the leader's claims.
   */
  void setLeader(boolean isLeader) {
    this.isLeader = isLeader;
    requestTokens.tokensPerS(
        isLeader ? requestsPerS * LEADER_REQUEST_SHARE : followerRequestsPerS());
    resetChangeRate();
  }

  private void resetChangeRate() {
    changeTokens.tokensPerS(isLeader ? leaderChangesPerS() : followerChangesPerS());
  }

  // ---------------------------------------------------------------- lending

  /**
   * Reduces the leader's change rate by the rate that it lends to followers. Submissions accepted
   * by the followers then don't wait while the leader writes final states; those can wait, since
   * many of them are then combined into one change.
   */
  void lend(double lentChangesPerS) {
    changeTokens.tokensPerS(leaderChangesPerS() - lentChangesPerS);
  }

  /** Uses the change rate that the leader has lent to this follower until the loan expires. */
  void borrow(double borrowedChangesPerS) {
    changeTokens.tokensPerS(Math.max(followerChangesPerS(), borrowedChangesPerS));
    borrowedUntil = loop.now() + LOAN_DURATION_S;
    loop.schedule(LOAN_DURATION_S, this::endLoan);
  }

  private void endLoan() {
    if (!isLeader && loop.now() >= borrowedUntil) {
      changeTokens.tokensPerS(followerChangesPerS());
    }
  }

  /** Returns the changes made since the last call of this method plus those that wait now. */
  public double drainChangeDemand() {
    double demand = changesMade + changeTokens.waiting();
    changesMade = 0;
    return demand;
  }

  // ---------------------------------------------------------------- use

  /** Calls back with true once a request may be sent, or with false if it is rejected. */
  void takeRequest(CallPriority use, Consumer<Boolean> done) {
    requestTokens.take(use, 1, done);
  }

  /** Calls back with true once {@code count} changes may be sent, or with false if rejected. */
  void takeChanges(CallPriority use, int count, Consumer<Boolean> done) {
    changeTokens.take(
        use,
        count,
        granted -> {
          if (granted) {
            changesMade += count;
          }
          done.accept(granted);
        });
  }

  /** Minimum interval in seconds between reads of one kind that keeps them within this budget. */
  double readIntervalS() {
    return REQUESTS_PER_READ / requestTokens.tokensPerS();
  }

  /** Called when the store has answered 429; discards all tokens to pause for a moment. */
  void onTooManyRequests() {
    requestTokens.onThrottled();
    changeTokens.onThrottled();
  }

  /** Keeps to the store's reduced change rate from now on. */
  void applyReducedChangeRate() {
    if (reducedChangesPerS < changesPerS) {
      changesPerS = reducedChangesPerS;
      resetChangeRate();
    }
  }

  /** The token bucket for requests. */
  public TokenBucket requestTokens() {
    return requestTokens;
  }

  /** The token bucket for changes. */
  public TokenBucket changeTokens() {
    return changeTokens;
  }
}
