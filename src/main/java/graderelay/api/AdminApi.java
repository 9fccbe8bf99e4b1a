package graderelay.api;

import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.core.Scheduler;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import graderelay.state.Cache;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.StateCodec;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What operators may see and change under {@code /admin}: this routes each path to its handler.
 * Settings are one record in the state service, written by compare-and-swap; every controller
 * follows it. What only the leader knows is asked of the leader.
 */
public final class AdminApi {
  private static final String ROOT = "/admin";

  private final Cache cache;
  private final PeerClient peerClient;
  private final Supplier<Scheduler> scheduler;
  private final FleetViews fleet;
  private final JobViews jobs;
  private final SettingsWrites settings;

  /**
   * Makes the handler of the operators' requests under {@code /admin}.
   *
   * @param platform this controller's settings of the deploy file
   * @param mostBatchTasks the most tasks that a task batch may hold
   * @param scheduler the scheduler while this controller leads, else null
   * @param ready true once this controller may answer
   */
  public AdminApi(
      Loop loop,
      Settings platform,
      TeamLimits limits,
      StateClient state,
      Cache cache,
      PeerClient peerClient,
      OperatorSettings defaults,
      int mostBatchTasks,
      Supplier<Scheduler> scheduler,
      BooleanSupplier ready) {
    this.cache = cache;
    this.peerClient = peerClient;
    this.scheduler = scheduler;
    this.settings = new SettingsWrites(platform, state, cache, defaults, mostBatchTasks);
    this.fleet =
        new FleetViews(loop, platform, limits, state, cache, scheduler, ready, settings::current);
    this.jobs = new JobViews(cache, scheduler);
  }

  /** True if the path is {@code /admin} or below it. */
  public static boolean owns(String path) {
    return path.equals(ROOT) || path.startsWith(ROOT + "/");
  }

  /** Answers a request below {@code /admin}: 404 for no such path, 405 for a wrong method. */
  public void handle(Exchange e) {
    String rest = e.path().length() <= ROOT.length() ? "" : e.path().substring(ROOT.length() + 1);
    String[] parts = rest.split("/");
    boolean get = e.method().equals("GET");
    boolean post = e.method().equals("POST");
    switch (parts[0]) {
      case "status" -> only(e, get, () -> fleet.status(e));
      case "settings" -> {
        if (e.method().equals("PUT")) {
          settings.change(e);
        } else {
          only(e, get, () -> settings.read(e));
        }
      }
      case "teams" -> only(e, get, () -> atLeader(e, fleet::teams));
      case "jobs" ->
          only(
              e,
              get,
              () -> {
                if (parts.length == 1) {
                  jobs.jobs(e);
                } else {
                  atLeader(e, x -> jobs.job(x, parts[1]));
                }
              });
      case "machines" -> {
        if (parts.length == 3) {
          only(e, post, () -> settings.cordonOrDrain(e, parts[1], parts[2]));
        } else {
          only(e, get, () -> atLeader(e, fleet::machines));
        }
      }
      case "claims" -> {
        boolean known =
            parts.length == 2 && (parts[1].equals("pause") || parts[1].equals("resume"));
        if (known) {
          only(e, post, () -> settings.pauseClaims(e, parts[1].equals("pause")));
        } else {
          UserApi.refuse(e, 404, "there are /admin/claims/pause and /admin/claims/resume");
        }
      }
      default -> UserApi.refuse(e, 404, "no such path");
    }
  }

  private static void only(Exchange e, boolean right, Runnable r) {
    if (right) {
      r.run();
    } else {
      UserApi.refuse(e, 405, "method not allowed");
    }
  }

  /** Answers here if this controller leads, else relays the request to the leader (503 if none). */
  public void atLeader(Exchange e, Consumer<Exchange> here) {
    if (scheduler.get() != null) {
      here.accept(e);
      return;
    }
    StateCodec.LeaderRecord leader = cache.leader();
    String address = leader == null ? null : peerClient.addressOf(leader.member());
    if (address == null || e.relayed()) {
      UserApi.unavailable(e, "nobody owns the fleet at the moment");
      return;
    }
    peerClient.send(
        address,
        new PeerRequest.AdminRequest(e.method(), e.path(), e.query(), e.body()),
        PeerCodec::decodeRelayed,
        peerClient.timeoutS(),
        relayed -> {
          if (relayed == null) {
            UserApi.unavailable(e, "the owner " + leader.member() + " did not answer");
          } else {
            e.to().accept(relayed.answer());
          }
        });
  }
}
