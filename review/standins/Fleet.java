import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud and its workers, as PROTOCOL describes them. Tells the world of starts and ends. */
final class Fleet {
  static final String TYPE = "mid-node";
  static final double CPUS = 4;
  private static final double BOOT_S = 1;
  private static final double PULL_S = 0.2;

  /** Hears when a task has its image and when it is off its machine again. */
  interface Observer {
    void started(String task, int pass, String machine);

    void ended(String task, int pass, String machine, String cause);

    /** A controller has the cloud delete machines, with everything on them. */
    void deleted(String member, List<String> machines);

    /** Direct commands have arrived; refused for their token or session if not executed. */
    void commanded(String machine, String commands, boolean executed, long token, long session);
  }

  private final World.Timing timing;
  private final String zone;
  private final int capacity;
  private final Observer observer;
  private final List<String> members;

  /** Ports at which the workers reach the controllers, through links that can be held. */
  private final List<Net.Link> toControllers;

  /** Seconds that a task of a job runs, by job; jobs that nobody has submitted are absent. */
  final Map<String, Double> runS = new ConcurrentHashMap<>();

  private final Map<String, ArrayNode> hires = new LinkedHashMap<>();
  private final TreeMap<String, Worker> workers = new TreeMap<>();

  /** The cloud's port for each controller, so that the cloud knows who asks. */
  final List<Integer> ports = new ArrayList<>();

  Fleet(
      World.Timing timing,
      String zone,
      int capacity,
      List<String> members,
      List<Net.Link> toControllers,
      Observer observer)
      throws Exception {
    this.timing = timing;
    this.zone = zone;
    this.capacity = capacity;
    this.members = members;
    this.toControllers = toControllers;
    this.observer = observer;
    for (String member : members) {
      ports.add(Net.serve(request -> cloud(member, request)));
    }
  }

  synchronized List<Worker> workers() {
    return new ArrayList<>(workers.values());
  }

  // ---------------------------------------------------------------- the cloud

  private synchronized Net.Answer cloud(String member, Net.Request request) throws Exception {
    if (request.path().equals("/machine_types")) {
      ObjectNode type = Net.object().put("sku", TYPE).put("cpus", CPUS).put("cards", 0);
      type.put("mem_gb", 64).put("cache_gb", 40.0).put("pull_gb_per_s", 5.0).put("price", 0.71);
      type.put("market_price", 0.22).put("ready_s", BOOT_S).putArray("yards").add(zone);
      ObjectNode n = Net.object();
      n.putArray("rigs").add(type);
      return new Net.Answer(200, n);
    }
    if (request.path().equals("/machines/delete")) {
      List<String> names = new ArrayList<>();
      request.body().path("saws").forEach(name -> names.add(name.asText()));
      observer.deleted(member, names);
      for (String name : names) {
        Worker worker = workers.remove(name);
        if (worker != null) {
          worker.gone();
        }
      }
      return new Net.Answer(200, Net.object());
    }
    return request.method().equals("GET") ? list() : hire(request.body());
  }

  private Net.Answer list() {
    ObjectNode n = Net.object().put("truncated", false);
    ArrayNode list = n.putArray("saws");
    for (Worker worker : workers.values()) {
      double age = Net.now() - worker.hiredAt;
      if (age >= timing.listLagS()) {
        list.addObject().put("ref", worker.name).put("address", worker.address).put("rig", TYPE)
            .put("yard", zone).put("borrowed", worker.borrowed).put("stage", "running")
            .put("age_s", age);
      }
    }
    return new Net.Answer(200, n);
  }

  private Net.Answer hire(JsonNode request) throws Exception {
    String name = request.path("hire").asText();
    ArrayNode names = hires.get(name);
    if (names == null) {
      names = Net.JSON.createArrayNode();
      int wanted = request.path("how_many").asInt();
      for (int i = 0; i < wanted && workers.size() < capacity; i++) {
        String machine = String.format("n-%06d", hires.size() * 100 + i + 1);
        Worker worker = new Worker(machine, request.path("borrowed").asBoolean());
        workers.put(machine, worker);
        names.add(machine);
      }
      if (names.isEmpty()) {
        return new Net.Answer(503, Net.object().put("error", "no capacity"));
      }
      hires.put(name, names);
    }
    ObjectNode n = Net.object();
    n.set("saws", names);
    return new Net.Answer(200, n);
  }

  // ---------------------------------------------------------------- a worker

  private static final class Attempt {
    final String task;
    final int pass;
    String stage = "pulling";
    String cause;
    double nextAt;

    Attempt(String task, int pass) {
      this.task = task;
      this.pass = pass;
    }

    boolean exited() {
      return stage.equals("exited");
    }
  }

  final class Worker {
    final String name;
    final String address;
    final boolean borrowed;
    final double hiredAt = Net.now();

    /** What controllers send to this worker. */
    final Net.Link link;

    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    private long shift = 1;
    private long tally;
    private long foreman;
    private double leaseFrom;
    private boolean gone;

    /** All jobs have one image, which is fetched once and then stays in the cache. */
    private boolean imageCached;

    private boolean changed;
    private double lastSentAt = Double.NEGATIVE_INFINITY;
    private int node;
    volatile int servedBy = -1;

    Worker(String name, boolean borrowed) throws Exception {
      this.name = name;
      this.borrowed = borrowed;
      this.link = new Net.Link(Net.serve(this::handle));
      this.address = "127.0.0.1:" + link.port;
      Net.daemon(this::live);
      Net.daemon(this::report);
    }

    synchronized void gone() {
      gone = true;
      dropAll("gone");
    }

    /** The highest token that this worker has seen. */
    synchronized long token() {
      return foreman;
    }

    synchronized boolean isGone() {
      return gone;
    }

    private void live() {
      Net.sleep(BOOT_S);
      synchronized (this) {
        leaseFrom = Net.now();
      }
      while (!isGone()) {
        Net.sleep(0.02);
        step();
      }
    }

    private synchronized void step() {
      double now = Net.now();
      if (now > leaseFrom + timing.leaseS()) {
        dropAll("lease");
        shift++;
        leaseFrom = now;
        changed = true;
      }
      for (Attempt attempt : attempts.values()) {
        if (!attempt.exited() && now >= attempt.nextAt) {
          if (attempt.stage.equals("pulling")) {
            begin(attempt);
          } else {
            exit(attempt, "done");
          }
        }
      }
    }

    private void begin(Attempt attempt) {
      imageCached = true;
      attempt.stage = "running";
      attempt.nextAt = Net.now() + runS.getOrDefault(attempt.task.split("/")[0], 0.0);
      observer.started(attempt.task, attempt.pass, name);
      changed = true;
    }

    private void exit(Attempt attempt, String cause) {
      if (attempt.stage.equals("running")) {
        observer.ended(attempt.task, attempt.pass, name, cause);
      }
      attempt.stage = "exited";
      attempt.cause = cause;
      changed = true;
    }

    private void dropAll(String cause) {
      attempts.values().stream().filter(a -> !a.exited()).forEach(a -> exit(a, cause));
      attempts.clear();
    }

    private ObjectNode body() {
      ObjectNode n = Net.object().put("saw", name).put("address", address).put("rig", TYPE);
      n.put("yard", zone).put("borrowed", borrowed).put("shift", shift).put("tally", ++tally);
      n.put("foreman", foreman).putNull("recall_s");
      ArrayNode boards = n.putArray("boards");
      for (Attempt attempt : attempts.values()) {
        ObjectNode b = boards.addObject().put("board", attempt.task).put("pass", attempt.pass);
        b.put("stage", attempt.stage);
        if (attempt.exited()) {
          b.put("cause", attempt.cause);
        }
      }
      return n;
    }

    private void report() {
      Net.sleep(BOOT_S);
      Net.Client client = new Net.Client();
      node = (int) (hiredAt * 1000) % members.size();
      while (!isGone()) {
        double pauseS = timing.reportS() * (0.75 + Math.random() / 2);
        ObjectNode body;
        long of;
        double sentAt = Net.now();
        synchronized (this) {
          body = body();
          of = shift;
          changed = false;
          lastSentAt = sentAt;
        }
        Net.Answer answer =
            client.call(toControllers.get(node).port, "POST", "/checkin", body, 4.0);
        if (answer != null && answer.status() == 200) {
          servedBy = node;
          accept(answer.body(), of, sentAt);
          awaitNext(sentAt + pauseS);
          continue;
        }
        client.close();
        int named =
            answer != null && answer.status() == 421
                ? members.indexOf(answer.body().path("foreman_at").asText(""))
                : -1;
        if (named >= 0 && named != node) {
          node = named;
          Net.sleep(0.1);
        } else {
          node = (node + 1) % members.size();
          Net.sleep(1);
        }
      }
    }

    /** Waits for the next report: its time, or half a second after the last if there is a change. */
    private void awaitNext(double at) {
      while (Net.now() < at) {
        Net.sleep(0.02);
        synchronized (this) {
          if (changed && Net.now() >= lastSentAt + 0.5) {
            return;
          }
        }
      }
    }

    private synchronized void accept(JsonNode answer, long of, double sentAt) {
      long token = answer.path("foreman").asLong(0);
      if (of != shift || token == 0 || token < foreman) {
        return;
      }
      see(token);
      leaseFrom = Math.max(leaseFrom, sentAt);
      answer.path("orders").forEach(this::execute);
    }

    private void see(long token) {
      if (token > foreman) {
        foreman = token;
        changed = true;
      }
    }

    private synchronized Net.Answer handle(Net.Request request) {
      if (gone) {
        return null;
      }
      if (request.path().equals("/status")) {
        return new Net.Answer(200, body());
      }
      JsonNode n = request.body();
      if (!n.has("foreman") || !n.has("shift")) {
        return new Net.Answer(400, Net.object());
      }
      boolean refused = n.path("foreman").asLong() < foreman || n.path("shift").asLong() != shift;
      if (n.path("orders").size() > 0) {
        observer.commanded(name, n.toString(), !refused, foreman, shift);
      }
      if (refused) {
        return new Net.Answer(409, body());
      }
      see(n.path("foreman").asLong());
      n.path("orders").forEach(this::execute);
      return new Net.Answer(200, body());
    }

    private void execute(JsonNode order) {
      String task = order.path("board").asText();
      int pass = order.path("pass").asInt();
      Attempt attempt = attempts.get(task + "#" + pass);
      switch (order.path("order").asText()) {
        case "launch" -> {
          if (attempt == null) {
            launch(task, pass);
          }
        }
        case "kill" -> {
          if (attempt != null && !attempt.exited()) {
            exit(attempt, "stopped");
          }
        }
        default -> {
          if (attempt != null && attempt.exited()) {
            attempts.remove(task + "#" + pass);
          }
        }
      }
    }

    private void launch(String task, int pass) {
      Attempt attempt = new Attempt(task, pass);
      boolean busy = attempts.values().stream().anyMatch(a -> a.task.equals(task) && !a.exited());
      attempts.put(task + "#" + pass, attempt);
      changed = true;
      if (busy || !runS.containsKey(task.split("/")[0])) {
        attempt.stage = "exited";
        attempt.cause = busy ? "busy" : "unknown";
      } else if (imageCached) {
        begin(attempt);
      } else {
        attempt.nextAt = Net.now() + PULL_S;
      }
    }
  }
}
