package graderelay.sim;

import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.core.Team;
import graderelay.net.Exchange;
import graderelay.net.Transport;
import graderelay.service.ControllerNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Some controllers and their outside world, in memory and in virtual time. */
public final class SimWorld {
  /** Seconds for which a worker's lease lasts. */
  public static final double LEASE_S = 12;

  /** Seconds between two heartbeats of a worker. */
  public static final double HEARTBEAT_S = 2;

  /** Seconds within which a cancelled job's tasks have to be gone. */
  public static final double CANCEL_S = 41;

  /** The CPU limit of the team that has one. */
  public static final double LIMIT = 24;

  /** The most changes that the store takes in a transaction. */
  public static final int TXN_OPS = 12;

  /** Limits that stay as they are. */
  public static final Settings.StoreLimits SAME = new Settings.StoreLimits(300, 16, TXN_OPS);

  /** Hears of each heartbeat that a worker sends. */
  public interface HeartbeatObserver {
    /** A worker that has seen this term sends a heartbeat. */
    void onSent(int bytes, int exitedAttempts, long term);
  }

  /** Hears of each heartbeat that a worker sends. */
  public HeartbeatObserver onHeartbeat = (bytes, exitedAttempts, term) -> {};

  private record Lost(ControllerNode process, ProcessSuspension suspension) {}

  public final WorldShape shape;

  /** What the settings say that the store will allow from some moment on. */
  public final Settings.StoreLimits next;

  /** What the settings say that the store allows, for controllers that start from now on. */
  public double requestsPerS = 1000;

  public double changesPerS = 300;

  public final SplittableRandom random;
  public final SimLoop loop = new SimLoop();
  public final SimNet net;
  public final SimStore store;
  public final SimCloud cloud;
  public final SimUsers users;
  public final InvariantChecker invariants;
  public final Map<String, SimWorker> workers = new LinkedHashMap<>();
  public final int size;
  public final ControllerNode[] controllers;
  public final boolean[][] refused;

  /** Controllers to which the store refuses lists alone. */
  public final boolean[][] listsRefused;

  /** Which controllers start as the version in production, and not as the present one. */
  private final boolean[] production;

  /** What is switched on for each controller from its next start on. */
  private final Options[] options;

  /** Why controllers of the present version have left, by name. */
  public final Map<String, String> left = new LinkedHashMap<>();

  /** Suspended processes in whose place others were started, by controller. */
  private final Map<Integer, Lost> lost = new LinkedHashMap<>();

  /** Checks transactions by the feature level, or null. */
  private LevelChecker levelChecker;

  private final ProcessSuspension[] suspended;
  private final boolean[][] dead;
  private final String[] apis;

  /** Creates a world of three controllers. */
  public SimWorld(long seed) {
    this(seed, WorldShape.of(3));
  }

  /** Creates a world whose store limits stay as they are. */
  public SimWorld(long seed, WorldShape shape) {
    this(seed, shape, SAME);
  }

  /** Creates a world whose store will allow only {@code next} from some moment on. */
  public SimWorld(long seed, WorldShape shape, Settings.StoreLimits next) {
    this(seed, shape, next, false);
  }

  private SimWorld(long seed, WorldShape shape, Settings.StoreLimits next, boolean inProduction) {
    this.next = next;
    this.shape = shape;
    this.size = shape.size();
    controllers = new ControllerNode[size];
    production = new boolean[size];
    Arrays.fill(production, inProduction);
    options = new Options[size];
    Arrays.fill(options, Options.defaults());
    refused = new boolean[size][1];
    listsRefused = new boolean[size][1];
    suspended = new ProcessSuspension[size];
    dead = new boolean[size][];
    apis = new String[size];
    for (int i = 0; i < size; i++) {
      apis[i] = apiAddress(i);
    }
    random = new SplittableRandom(seed);
    net = new SimNet(loop, random);
    store = new SimStore(loop.process(0, new boolean[1]), TXN_OPS);
    invariants = new InvariantChecker(loop, CANCEL_S, shape.limit());
    var type = new SimCloud.Type("small", 4, 16, 1, 0.4);
    cloud = new SimCloud(this, List.of(type), shape.zones());
    cloud.capacity = shape.machines();
    for (int i = 0; i < size; i++) {
      net.listen("state" + i + ":1", "state", store.forNode(refused[i], listsRefused[i]));
    }
    net.listen("cloud:1", "cloud", cloud);
    users = new SimUsers(this, net.from("users", new boolean[] {false}));
    for (int i = 0; i < size; i++) {
      start(i);
    }
    check();
  }

  /** Returns the names of the zones. */
  public List<String> zones() {
    return shape.zones();
  }

  /** A world with so many controllers. */
  public static SimWorld of(long seed, int size) {
    return new SimWorld(seed, WorldShape.of(size));
  }

  /** A world whose controllers are of the version in production, until they are replaced. */
  public static SimWorld inProduction(long seed, WorldShape shape, Settings.StoreLimits next) {
    return new SimWorld(seed, shape, next, true);
  }

  /** Returns the address at which a controller serves users and workers. */
  static String apiAddress(int controller) {
    return "c" + controller + ":80";
  }

  private void check() {
    invariants.check();
    loop.after(0.5, this::check);
  }

  int nodeIndex(String member) {
    return member.matches("m-[0-9]+") ? Integer.parseInt(member.substring(2)) : -1;
  }

  /** Controllers stand in the zones in turn. */
  private String zoneOf(int controller) {
    return shape.zones().get(controller % shape.zones().size());
  }

  /** Returns the settings with which a controller starts now. */
  public Settings settings(int i) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (int k = 0; k < size; k++) {
      if (k != i) {
        peers.add(new Settings.Peer("m-" + k, zoneOf(k), "c" + k + ":81"));
      }
    }
    return new Settings(
        "m-" + i,
        zoneOf(i),
        apis[i],
        "c" + i + ":81",
        peers,
        "cloud:1",
        "state" + i + ":1",
        List.of(
            new Team("team", 8, shape.limit(), 0, 0),
            new Team("other", 8, 12, 0, 0),
            new Team("guest", 0, 0, 0, 0)),
        Map.of("web", 1.0),
        Map.of("web", List.of(1.0)),
        Map.of(),
        shape.heartbeatS(),
        shape.leaseS(),
        CANCEL_S,
        requestsPerS,
        changesPerS,
        16,
        TXN_OPS,
        50,
        3,
        0.34,
        900,
        production[i] ? SAME : next); // The version in production does not know them.
  }

  /** From its next start on a controller is of the present version. */
  public void replace(int i) {
    production[i] = false;
  }

  /** From its next start on a controller is of the present version, with these options. */
  public void replace(int i, Options its) {
    production[i] = false;
    options[i] = its;
  }

  /** From its next start on a controller is of the version in production again. */
  public void rollBack(int i) {
    production[i] = true;
  }

  /** The controller stands still: what comes to it waits, and no timer of it fires. */
  public void suspend(int i) {
    invariants.log("m-" + i + " is suspended");
    suspended[i].suspend();
  }

  /** It goes on, with all that has waited. */
  public void resume(int i) {
    invariants.log("m-" + i + " goes on");
    suspended[i].resume(loop);
  }

  /** A suspended controller is taken for ended: another process may be started in its place. */
  public void loseTrackOf(int i) {
    lost.put(i, new Lost(controllers[i], suspended[i]));
  }

  /** That earlier process goes on, beside the later one. */
  public void resumeLost(int i) {
    invariants.log("the earlier process of m-" + i + " goes on");
    lost.get(i).suspension().resume(loop);
  }

  /** Returns the earlier process of a controller that was taken for ended. */
  public ControllerNode lostNode(int i) {
    return lost.get(i).process();
  }

  /**
   * From now on the transactions of each process that starts are checked against the feature level.
   */
  public void checkLevels() {
    levelChecker = new LevelChecker(this, this::isUp);
    store.onCommit = levelChecker::committing;
  }

  boolean isProduction(int i) {
    return production[i];
  }

  boolean hasLost(int i) {
    return lost.containsKey(i);
  }

  /** Starts a controller, as a new process. */
  public void start(int i) {
    boolean[] over = {false};
    ProcessSuspension still = new ProcessSuspension();
    suspended[i] = still;
    dead[i] = over;
    double drift = (random.nextDouble() - 0.5) * 0.001;
    Transport sends = net.from("c" + i, over);
    Transport outside =
        (address, method, path, body, timeoutS, done) ->
            sends.call(address, method, path, body, timeoutS, r -> still.run(() -> done.accept(r)));
    ProductionVersion old = production[i] ? new ProductionVersion(invariants) : null;
    Transport checked =
        levelChecker == null
            ? outside
            : levelChecker.watched(i, old == null ? options[i].supportedLevels() : null, outside);
    ControllerNode n =
        new ControllerNode(
            still.wrap(loop.process(drift, over)),
            old == null ? checked : old.transport(checked, "state" + i + ":1"),
            settings(i),
            old == null ? options[i] : Options.defaults(),
            random.split());
    controllers[i] = n;
    n.onShutdownRequested(
        why -> {
          left.put("m-" + i, why);
          invariants.log("m-" + i + " leaves: " + why);
        });
    net.stands("c" + i, zoneOf(i));
    Exchange.Handler api = old == null ? n::handle : e -> n.handle(ProductionVersion.request(e));
    Exchange.Handler peers =
        old == null ? n::handlePeer : e -> ProductionVersion.peer(e, n::handlePeer);
    net.listen(apis[i], "c" + i, e -> still.run(() -> deliver(over, e, api)));
    net.listen("c" + i + ":81", "c" + i, e -> still.run(() -> deliver(over, e, peers)));
    n.start();
  }

  private static void deliver(boolean[] over, Exchange e, Exchange.Handler h) {
    if (!over[0]) {
      h.handle(
          new Exchange(
              e.method(),
              e.path(),
              e.query(),
              e.body(),
              a -> {
                if (!over[0]) {
                  e.responder().accept(a);
                }
              }));
    }
  }

  /** Ends a controller without a word. */
  public void crash(int i) {
    dead[i][0] = true;
    net.close(apis[i]);
    net.close("c" + i + ":81");
    invariants.log("crash of m-" + i);
  }

  /** Ends every controller. */
  public void crashAll() {
    for (int i = 0; i < size; i++) {
      crash(i);
    }
  }

  /** Starts every controller again. */
  public void startAll() {
    for (int i = 0; i < size; i++) {
      start(i);
    }
  }

  /** Returns whether the latest process of a controller is up. */
  public boolean isUp(int i) {
    return !dead[i][0];
  }

  void boot(String name, String type, String zone, boolean spot) {
    net.stands(name, zone);
    workers.put(
        name,
        new SimWorker(this, name, type, zone, spot, shape.heartbeatS(), shape.leaseS(), apis));
  }

  /** A controller is left with its workers and users: neither store nor controllers. */
  public void isolate(int i, boolean on) {
    List<String> others = new ArrayList<>(List.of("state"));
    for (int k = 0; k < size; k++) {
      if (k != i) {
        others.add("c" + k);
      }
    }
    for (String o : others) {
      if (on) {
        net.cut("c" + i, o);
      } else {
        net.heal("c" + i, o);
      }
    }
  }

  /** No controller reaches the machine any more, nor it them. */
  public void cutOff(String machine) {
    for (int i = 0; i < size; i++) {
      net.cut("c" + i, machine);
    }
  }

  /** Returns the controller that leads, or -1. */
  public int leader() {
    for (int i = 0; i < size; i++) {
      if (!dead[i][0] && controllers[i].isLeader()) {
        return i;
      }
    }
    return -1;
  }
}
