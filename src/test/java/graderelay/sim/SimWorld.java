package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.core.Team;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.net.Reply;
import graderelay.net.Transport;
import graderelay.service.ControllerNode;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** Some controllers and their outside world, in memory and in virtual time. */
public final class SimWorld {
  public static final double LEASE_S = 12;
  public static final double REPORT_S = 2;
  public static final double CANCEL_S = 41;
  public static final double LIMIT = 24;
  public static final int TXN_OPS = 12;

  /** What deployments differ in: controllers, workers' times, zones and machines to be had. */
  public record Shape(
      int size, double reportS, double leaseS, List<String> zones, int machines, double limit) {
    /** Returns the usual shape with so many controllers. */
    public static Shape of(int size) {
      return new Shape(size, REPORT_S, LEASE_S, List.of("a", "b"), 8, LIMIT);
    }

    /** The same with workers that report as often and whose lease is as long. */
    public Shape workers(double every, double lease) {
      return new Shape(size, every, lease, zones, machines, limit);
    }

    /** The same with so many machines and as large a limit as they can hold, in these zones. */
    public Shape fleet(int most, List<String> in) {
      return new Shape(size, reportS, leaseS, in, most, 3.0 * most);
    }
  }

  public final Shape shape;

  /** What the settings say that the state service will allow from some moment on. */
  public final Settings.StateLimits next;

  /**
   * What the settings say that the state service allows, for controllers that start from now on.
   */
  public double requestsPerS = 1000;

  public double changesPerS = 300;

  /** Limits that stay as they are. */
  public static final Settings.StateLimits SAME = new Settings.StateLimits(300, 16, TXN_OPS);

  public final SplittableRandom random;
  public final SimLoop loop = new SimLoop();
  public final SimNet net;
  public final SimState state;
  public final SimCloud cloud;
  public final Rules rules;
  public final Map<String, SimWorker> workers = new LinkedHashMap<>();
  public final int size;
  public final ControllerNode[] nodes;
  public final boolean[][] refused;

  /** Which controllers start as the version in production, and not as the present one. */
  private final boolean[] production;

  /** What is switched on for each controller from its next start on. */
  private final Options[] options;

  /** Why controllers of the present version have left, by name. */
  public final Map<String, String> left = new LinkedHashMap<>();

  private final boolean[][] dead;
  private final String[] apis;
  private final Transport users;

  /** Creates a world of three controllers. */
  public SimWorld(long seed) {
    this(seed, Shape.of(3));
  }

  /** Creates a world whose store limits stay as they are. */
  public SimWorld(long seed, Shape shape) {
    this(seed, shape, SAME);
  }

  /** Creates a world whose store will allow only {@code next} from some moment on. */
  public SimWorld(long seed, Shape shape, Settings.StateLimits next) {
    this(seed, shape, next, false);
  }

  private SimWorld(long seed, Shape shape, Settings.StateLimits next, boolean inProduction) {
    this.next = next;
    this.shape = shape;
    this.size = shape.size();
    nodes = new ControllerNode[size];
    production = new boolean[size];
    Arrays.fill(production, inProduction);
    options = new Options[size];
    Arrays.fill(options, Options.none());
    refused = new boolean[size][1];
    suspended = new Suspension[size];
    dead = new boolean[size][];
    apis = new String[size];
    for (int i = 0; i < size; i++) {
      apis[i] = "c" + i + ":80";
    }
    random = new SplittableRandom(seed);
    net = new SimNet(loop, random);
    state = new SimState(loop.process(0, new boolean[1]), TXN_OPS);
    rules = new Rules(loop, CANCEL_S, shape.limit());
    var type = new SimCloud.Type("small", 4, 16, 1, 0.4);
    cloud = new SimCloud(this, List.of(type), shape.zones());
    cloud.capacity = shape.machines();
    for (int i = 0; i < size; i++) {
      net.listen("state" + i + ":1", "state", state.forNode(refused[i]));
    }
    net.listen("cloud:1", "cloud", cloud);
    users = net.from("users", new boolean[] {false});
    for (int i = 0; i < size; i++) {
      start(i);
    }
    check();
  }

  /** A world with so many controllers. */
  public static SimWorld of(long seed, int size) {
    return new SimWorld(seed, Shape.of(size));
  }

  /** A world whose controllers are of the version in production, until they are replaced. */
  public static SimWorld inProduction(long seed, Shape shape, Settings.StateLimits next) {
    return new SimWorld(seed, shape, next, true);
  }

  private void check() {
    rules.check();
    loop.after(0.5, this::check);
  }

  int nodeIndex(String member) {
    return member.matches("m-[0-9]+") ? Integer.parseInt(member.substring(2)) : -1;
  }

  /** Controllers stand in the zones in turn. */
  private String zoneOf(int node) {
    return shape.zones().get(node % shape.zones().size());
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
        shape.reportS(),
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
    rules.log("m-" + i + " is suspended");
    suspended[i].on = true;
  }

  /** It goes on, with all that has waited. */
  public void resume(int i) {
    rules.log("m-" + i + " goes on");
    suspended[i].resume(loop);
  }

  /** Suspended processes in whose place others were started, by controller. */
  private final Map<Integer, Lost> lost = new LinkedHashMap<>();

  private record Lost(ControllerNode node, Suspension suspension) {}

  /** A suspended controller is taken for ended: another process may be started in its place. */
  public void loseTrackOf(int i) {
    lost.put(i, new Lost(nodes[i], suspended[i]));
  }

  /** That earlier process goes on, beside the later one. */
  public void resumeLost(int i) {
    rules.log("the earlier process of m-" + i + " goes on");
    lost.get(i).suspension().resume(loop);
  }

  /** Returns the earlier process of a controller that was taken for ended. */
  public ControllerNode lostNode(int i) {
    return lost.get(i).node();
  }

  /** Keeps what a process would do while it stands still. */
  private static final class Suspension {
    boolean on;
    final List<Runnable> waiting = new ArrayList<>();

    void resume(SimLoop loop) {
      on = false;
      List<Runnable> all = new ArrayList<>(waiting);
      waiting.clear();
      all.forEach(r -> loop.after(0, r));
    }

    void run(Runnable r) {
      if (on) {
        waiting.add(() -> run(r));
      } else {
        r.run();
      }
    }
  }

  private final Suspension[] suspended;

  /** Judges transactions by the feature level, or null. */
  private LevelRules levelRules;

  /** From now on each process that starts is judged by the feature level. */
  public void judgeLevels() {
    levelRules = new LevelRules(this, this::isUp);
    state.onCommit = levelRules::committing;
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
    Suspension still = new Suspension();
    suspended[i] = still;
    dead[i] = over;
    double drift = (random.nextDouble() - 0.5) * 0.001;
    Transport sends = net.from("c" + i, over);
    Transport outside =
        (address, method, path, body, timeoutS, done) ->
            sends.call(address, method, path, body, timeoutS, r -> still.run(() -> done.accept(r)));
    ProductionVersion old = production[i] ? new ProductionVersion(rules) : null;
    Transport judged =
        levelRules == null
            ? outside
            : levelRules.watched(i, old == null ? options[i].supported() : null, outside);
    ControllerNode n =
        new ControllerNode(
            suspendable(loop.process(drift, over), still),
            old == null ? judged : old.transport(judged, "state" + i + ":1"),
            settings(i),
            old == null ? options[i] : Options.none(),
            random.split());
    nodes[i] = n;
    n.onLeave(
        why -> {
          left.put("m-" + i, why);
          rules.log("m-" + i + " leaves: " + why);
        });
    net.stands("c" + i, zoneOf(i));
    Exchange.Handler users = old == null ? n::handle : e -> n.handle(ProductionVersion.request(e));
    Exchange.Handler peers =
        old == null ? n::handlePeer : e -> ProductionVersion.peer(e, n::handlePeer);
    net.listen(apis[i], "c" + i, e -> still.run(() -> deliver(over, e, users)));
    net.listen("c" + i + ":81", "c" + i, e -> still.run(() -> deliver(over, e, peers)));
    n.start();
  }

  private static Loop suspendable(Loop loop, Suspension still) {
    return new Loop() {
      @Override
      public double now() {
        return loop.now();
      }

      @Override
      public long wallMs() {
        return loop.wallMs();
      }

      @Override
      public void execute(Runnable r) {
        loop.execute(() -> still.run(r));
      }

      @Override
      public Timer after(double seconds, Runnable r) {
        boolean[] off = {false};
        Timer t =
            loop.after(
                seconds,
                () ->
                    still.run(
                        () -> {
                          if (!off[0]) {
                            r.run();
                          }
                        }));
        return () -> {
          off[0] = true;
          t.cancel();
        };
      }
    };
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
                  e.to().accept(a);
                }
              }));
    }
  }

  /** Ends a controller without a word. */
  public void crash(int i) {
    dead[i][0] = true;
    net.close(apis[i]);
    net.close("c" + i + ":81");
    rules.log("crash of m-" + i);
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
        name, new SimWorker(this, name, type, zone, spot, shape.reportS(), shape.leaseS(), apis));
  }

  /** A controller is left with its workers and users: neither state service nor controllers. */
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

  /** The controller that owns the fleet, or -1. */
  public int leader() {
    for (int i = 0; i < size; i++) {
      if (!dead[i][0] && nodes[i].leader()) {
        return i;
      }
    }
    return -1;
  }

  // ---------------------------------------------------------------- users

  /** Makes a job known that a user may submit; zero seconds of run time mean a service. */
  public Rules.Known job(String id, int tasks, double cpus, double runS, boolean spot) {
    return job(id, tasks, cpus, runS, spot, false);
  }

  /** Makes a job known whose tasks have to be spread over zones if {@code spread}. */
  public Rules.Known job(
      String id, int tasks, double cpus, double runS, boolean spot, boolean spread) {
    Rules.Known k = new Rules.Known(id, tasks, cpus, runS, spot, spread);
    rules.jobs.put(id, k);
    return k;
  }

  /** Returns the body of the submission of a job. */
  public ObjectNode body(Rules.Known k) {
    ObjectNode n = Json.object().put("ref", k.id).put("lot", k.runS == 0 ? "web" : "batch");
    n.put("crew", k.crew()).put("cut", k.runS == 0 ? "standing" : "array");
    n.put("urgency", k.runS == 0 ? "prod" : k.guest ? "low" : "normal").put("boards", k.tasks);
    n.put("cpus", k.cpus).put("cards", 0.0).put("mem_gb", 1.0).put("blade", "i");
    n.put("yard", k.zone)
        .put("pull_gb", 1.0)
        .put("one_zone", false)
        .put("apart", k.spread)
        .put("borrowed", k.spot);
    if (!k.needs.isEmpty()) {
      k.needs.forEach(need -> n.withArray("awaits").add(need.id));
    }
    n.put("expected_s", k.runS).put("stack_s", 0.0).put("stack_write_s", 0.0);
    return n;
  }

  /** Submits until it is accepted. */
  public void submit(int node, Rules.Known k) {
    submit(node, k, 0);
  }

  private void submit(int node, Rules.Known k, int tries) {
    String knew = k.knew();
    ask(
        node,
        "POST",
        "/v1/jobs",
        Json.write(body(k)),
        (r, n) -> {
          rules.told(k, r.status(), n.path("stage").asText(), true, knew);
          if (r.status() != 200 && r.status() != 201 && tries < 60) {
            loop.after(1, () -> submit((node + 1) % size, k, tries + 1));
          }
        });
  }

  /** Cancels until it is confirmed. */
  public void cancel(int node, Rules.Known k) {
    String knew = k.knew();
    k.cancelAsked = true;
    ask(
        node,
        "POST",
        "/v1/jobs/" + k.id + "/withdraw",
        null,
        (r, n) -> {
          rules.told(k, r.status(), n.path("stage").asText(), false, knew);
          if (r.status() != 200) {
            loop.after(1, () -> cancel((node + 1) % size, k));
          }
        });
  }

  /** Asks for the state of a job, once. */
  public void poll(int node, Rules.Known k) {
    String knew = k.knew();
    ask(
        node,
        "GET",
        "/v1/jobs/" + k.id,
        null,
        (r, n) -> rules.told(k, r.status(), n.path("stage").asText(), false, knew));
  }

  /** Submits once more, as a user may at any time who has had no answer. */
  public void resubmit(int node, Rules.Known k) {
    String knew = k.knew();
    ask(
        node,
        "POST",
        "/v1/jobs",
        Json.write(body(k)),
        (r, n) -> rules.told(k, r.status(), n.path("stage").asText(), true, knew));
  }

  /** From now on users ask at all nodes, again and again, whatever they were told a moment ago. */
  public void lookClosely() {
    rules.onTold =
        k -> {
          for (int i = 0; i < 4 * size; i++) {
            int node = i % size;
            loop.after(0.001 * (i / size), () -> poll(node, k));
            loop.after(0.001 * (i / size), () -> resubmit(node, k));
          }
        };
  }

  /** Sends a request as a user and hears of its answer, as JSON. */
  public void ask(
      int node, String method, String path, byte[] body, BiConsumer<Reply, JsonNode> then) {
    users.call(
        apis[node],
        method,
        path,
        body,
        5,
        r -> then.accept(r, r.body().length == 0 ? Json.object() : Json.read(r.body())));
  }

  /** Asks and returns the answer, running the world meanwhile. */
  public JsonNode answer(int node, String method, String path, byte[] body) {
    JsonNode[] got = {null};
    ask(
        node,
        method,
        path,
        body,
        (r, n) -> got[0] = (n.isObject() ? (ObjectNode) n : Json.object()).put("http", r.status()));
    for (int i = 0; i < 600 && got[0] == null; i++) {
      loop.run(0.01);
    }
    return got[0];
  }

  /** Returns the stage of a job as a controller answers it. */
  public String stage(int node, String id) {
    return answer(node, "GET", "/v1/jobs/" + id, null).path("stage").asText();
  }
}
