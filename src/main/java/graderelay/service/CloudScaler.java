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
  private static final long FIRST_TOKEN = 1;

  private final LeaderTerm term;
  private final Scheduler core;
  private final Loop loop;
  private final CloudClient cloud;
  private final long fencingToken;
  private final double startedAt;
  private final double listLagS;
  private boolean listed;

  /**
   * Makes the scaler of one term, whose core exists already.
   *
   * @param fencingToken the token that the term was won with; it names scale-out requests
   * @param startedAt when the term began, in seconds of the loop's clock
   * @param listLagS how long the cloud's list of machines may lag behind a scale-out, in seconds
   */
  CloudScaler(
      LeaderTerm term,
      LeaderServices services,
      long fencingToken,
      double startedAt,
      double listLagS) {
    this.term = term;
    this.core = term.core();
    this.loop = services.loop();
    this.cloud = services.cloud();
    this.fencingToken = fencingToken;
    this.startedAt = startedAt;
    this.listLagS = listLagS;
  }

  /** The cloud has listed its machines once in this term: earlier leaders' scale-outs show. */
  void markListed() {
    listed = true;
  }

  /** Asks for machines; refused without asking while those of an earlier leader may not show. */
  void scaleOut(Action.ScaleOut request) {
    if (mayMissEarlierScaleOuts()) {
      core.onScaleOutResponse(request.id(), null, false, loop.now());
      return;
    }
    String name = "hire-" + fencingToken + "-" + request.id();
    LOG.info(
        "scale out {} {} in {}{} as {}",
        request.count(),
        request.type(),
        request.zone(),
        request.spot() ? ", spot" : "",
        name);
    cloud.scaleOut(
        name,
        request.type(),
        request.zone(),
        request.spot(),
        request.count(),
        result ->
            term.takeOutcome(
                now -> {
                  LOG.info(
                      "{}: {}", name, result.noCapacity() ? "no capacity" : result.machineNames());
                  core.onScaleOutResponse(
                      request.id(), result.machineNames(), result.noCapacity(), now);
                }));
  }

  /** An earlier leader may have scaled out for the same work; the list shows it only later. */
  private boolean mayMissEarlierScaleOuts() {
    boolean first = fencingToken == FIRST_TOKEN;
    return !first && (!listed || loop.now() < startedAt + listLagS);
  }

  /** Returns machines to the cloud; what it does not confirm, the core decides on again. */
  void scaleIn(Action.ScaleIn request) {
    cloud.scaleIn(
        request.machines(),
        confirmed -> {
          if (confirmed) {
            term.takeOutcome(now -> core.onMachinesDeleted(request.machines(), now));
          }
        });
  }
}
