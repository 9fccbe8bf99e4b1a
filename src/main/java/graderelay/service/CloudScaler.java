package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out the core's scale-out and scale-in decisions through the cloud's machine API. */
final class CloudScaler {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  /** The cluster's first fencing token: before it there was no leader that scaled out. */
  private static final long FIRST_TERM = 1;

  private final LeaderTerm leaderTerm;
  private final Scheduler core;
  private final Loop loop;
  private final CloudClient cloudClient;
  private final long electedTerm;
  private final double termStartedAt;
  private final double listLagS;
  private boolean hasListedMachines;

  /**
   * Makes the scaler of one term, whose core exists already.
   *
   * @param fencingToken the token that the term was won with; it names scale-out requests
   * @param startedAt when the term began, in seconds of the loop's clock
   * @param listLagS how long the cloud's list of machines may lag behind a scale-out, in seconds
   */
  CloudScaler(
      LeaderTerm leaderTerm,
      LeaderServices services,
      long electedTerm,
      double termStartedAt,
      double listLagS) {
    this.leaderTerm = leaderTerm;
    this.core = leaderTerm.core();
    this.loop = services.loop();
    this.cloudClient = services.cloudClient();
    this.electedTerm = electedTerm;
    this.termStartedAt = termStartedAt;
    this.listLagS = listLagS;
  }

  /** The cloud has listed its machines once in this term: earlier leaders' scale-outs show. */
  void onMachinesListed() {
    hasListedMachines = true;
  }

  /** Asks for machines; refused without asking while those of an earlier leader may not show. */
  void scaleOut(Action.ScaleOut request) {
    if (mayMissEarlierScaleOuts()) {
      core.onScaleOutResponse(request.id(), null, false, loop.now());
      return;
    }
    String requestName = "hire-" + electedTerm + "-" + request.id();
    LOG.info(
        "scale out {} {} in {}{} as {}",
        request.count(),
        request.type(),
        request.zone(),
        request.spot() ? ", spot" : "",
        requestName);
    cloudClient.scaleOut(
        requestName,
        request.type(),
        request.zone(),
        request.spot(),
        request.count(),
        result ->
            leaderTerm.applyOutcome(
                now -> {
                  LOG.info(
                      "{}: {}", requestName, result.noCapacity() ? "no capacity" : result.names());
                  core.onScaleOutResponse(request.id(), result.names(), result.noCapacity(), now);
                }));
  }

  /** An earlier leader may have scaled out for the same work; the list shows it only later. */
  private boolean mayMissEarlierScaleOuts() {
    boolean isFirstTerm = electedTerm == FIRST_TERM;
    return !isFirstTerm && (!hasListedMachines || loop.now() < termStartedAt + listLagS);
  }

  /** Returns machines to the cloud; what it does not confirm, the core decides on again. */
  void scaleIn(Action.ScaleIn request) {
    cloudClient.scaleIn(
        request.machines(),
        confirmed -> {
          if (confirmed) {
            leaderTerm.applyOutcome(now -> core.onMachinesDeleted(request.machines(), now));
          }
        });
  }
}
