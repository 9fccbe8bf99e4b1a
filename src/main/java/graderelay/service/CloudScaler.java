package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the scheduler core's scale-out and scale-in decisions through the cloud's machine API.
 */
final class CloudScaler {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  /** The first term of a cluster: no earlier leader can have scaled out. */
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
   * Creates the scaler of one leader term, whose scheduler core must already exist.
   *
   * @param electedTerm the term that this controller was elected in; part of the name of each
   *     scale-out request
   * @param termStartedAt when the term started, in seconds of the event loop's clock
   * @param listLagS the longest time in seconds until a scaled-out machine appears in the cloud's
   *     list of machines
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

  /**
   * Called when the cloud has listed its machines in this term. The list includes the machines that
   * earlier leaders scaled out.
   */
  void onMachinesListed() {
    hasListedMachines = true;
  }

  /**
   * Requests machines from the cloud. The request is rejected without a call to the cloud while
   * machines of an earlier leader may be missing from the list.
   */
  void scaleOut(Action.ScaleOut request) {
    if (mayMissEarlierScaleOuts()) {
      core.onScaleOutResponse(request.id(), null, false, loop.now());
      return;
    }
    String requestName = "hire-" + electedTerm + "-" + request.id();
    LOG.info(
        "scaling out by {} machines of type {} in zone {}{}, request {}",
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
                      "scale-out request {}: {}",
                      requestName,
                      result.noCapacity() ? "no capacity" : result.names());
                  core.onScaleOutResponse(request.id(), result.names(), result.noCapacity(), now);
                }));
  }

  /**
   * True while an earlier leader may have scaled out for the same tasks without the machines being
   * listed yet.
   */
  private boolean mayMissEarlierScaleOuts() {
    boolean isFirstTerm = electedTerm == FIRST_TERM;
    return !isFirstTerm && (!hasListedMachines || loop.now() < termStartedAt + listLagS);
  }

  /**
   * Deletes machines in the cloud. If the cloud does not confirm the deletion, the core decides
   * again.
   */
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
