package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.TaskBatchKey;
import graderelay.features.Feature;
import graderelay.features.FeatureGate;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.wire.FeatureCodec;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's copy of the live records, fed by a watch. It is a hint for everything but final
 * states; who needs the truth asks for a catch-up first, which many can share.
 */
public final class Cache {
  /** Milliseconds that a watch is asked to wait; short, so that its end shows a healthy path. */
  private static final int WATCH_BLOCK_MS = 1000;

  /** Seconds between catch-up reads; all reads in between share the next one. */
  private static final double CATCH_UP_EVERY_S = 0.04;

  /** Seconds between watches at the least, so that a burst of changes costs few requests. */
  private static final double WATCH_EVERY_S = 0.02;

  /** Final states kept in memory; older ones are read from the state service. */
  private static final int FINAL_STATES = 4096;

  private static final Logger LOG = LoggerFactory.getLogger("cache");

  private final Loop loop;
  private final StateClient state;
  private final RecordListener listener;
  private final Map<String, JobEntry> jobs = new HashMap<>();
  private final Map<TaskBatchKey, TaskBatchEntry> orphanedTaskBatches = new HashMap<>();

  /** Live jobs whose cancellation is recorded. */
  private final Set<String> cancelledJobs = new HashSet<>();

  private final Map<String, FinalState> ends =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, FinalState> eldest) {
          return size() > FINAL_STATES;
        }
      };

  private final FeatureRecords features;
  private final ElectionRecords election;
  private final QuotaRecords quota;

  /** Stored limits or accounts have changed in the batch at hand. */
  private boolean quotaChanged;

  /** Something that {@link RecordListener#onLeader} tells of has changed in the batch at hand. */
  private boolean leaderChanged;

  /** Everything that had committed before this time has been seen. */
  private double linearizableAt = Double.NEGATIVE_INFINITY;

  /** The same for the whole copy: while only its head was read, jobs are missing. */
  private double completeAsOf = Double.NEGATIVE_INFINITY;

  private JsonNode demand;
  private final Map<String, JsonNode> images = new HashMap<>();
  private final Map<String, JsonNode> compactHints = new HashMap<>();
  private JsonNode settings;
  private long settingsRevision;
  private long revision;
  private boolean loaded;

  /** The records were read whole once. */
  private boolean watched;

  /** The leader record and the term were read. */
  private boolean electionLoaded;

  private boolean closed;
  private boolean loading;
  private int generation;

  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private boolean catching;
  private double lastCatch = Double.NEGATIVE_INFINITY;
  private double lastWatch = Double.NEGATIVE_INFINITY;

  /**
   * Makes the copy; every transaction of {@code state} is conditioned on the feature level that it
   * shows.
   */
  public Cache(Loop loop, StateClient state, FeatureGate gate, RecordListener listener) {
    this.loop = loop;
    this.state = state;
    this.listener = listener;
    this.features = new FeatureRecords(gate);
    this.election = new ElectionRecords(features);
    this.quota = new QuotaRecords(gate);
    state.fenceBy(FeatureCodec.LEVEL, features::levelRevision, () -> !gate.isShut());
  }

  /** What is stored of feature levels. */
  public FeatureRecords features() {
    return features;
  }

  /** What is stored of leader, term and suspensions. */
  public ElectionRecords election() {
    return election;
  }

  /** What is stored of limits and accounts. */
  public QuotaRecords quota() {
    return quota;
  }

  public boolean loaded() {
    return loaded;
  }

  /** True once this node knows who owned the fleet and with which term when it began to read. */
  public boolean electionLoaded() {
    return electionLoaded;
  }

  public JobEntry job(String id) {
    return jobs.get(id);
  }

  public Map<String, JobEntry> jobs() {
    return jobs;
  }

  /** Task batches whose job's record is gone. */
  public Map<TaskBatchKey, TaskBatchEntry> orphanedTaskBatches() {
    return orphanedTaskBatches;
  }

  /** A final state that this node knows already, or null. */
  public FinalState finalState(String id) {
    return ends.get(id);
  }

  public void rememberFinalState(String id, FinalState e) {
    ends.put(id, e);
  }

  /** Who leads, or null. */
  public StateCodec.LeaderRecord leader() {
    return election.leader();
  }

  public long leaderRevision() {
    return election.leaderRevision();
  }

  public long term() {
    return election.term();
  }

  /** The suspension of a controller, or null. */
  public StateCodec.Bar suspension(String member) {
    return election.suspension(member);
  }

  /** What had committed before this time is in the copy. */
  public double linearizableAt() {
    return linearizableAt;
  }

  /** Every job, task batch and cancellation that had committed before this time is in the copy. */
  public double completeAsOf() {
    return completeAsOf;
  }

  /** Live jobs whose cancellation is recorded. */
  public Set<String> cancelledJobs() {
    return cancelledJobs;
  }

  /** What the last leader kept of the demand, or null. */
  public JsonNode demand() {
    return demand;
  }

  /** What the last leader kept of the images on machines, by record. */
  public Map<String, JsonNode> images() {
    return images;
  }

  /** What the last leader kept of either in the compact form, by key. */
  public Map<String, JsonNode> compactHints() {
    return compactHints;
  }

  public JsonNode settings() {
    return settings;
  }

  public long settingsRevision() {
    return settingsRevision;
  }

  /** The revision up to which every change has been seen. */
  public long revisionSeen() {
    return revision;
  }

  /** Starts the duty that keeps the copy fresh. */
  public void start() {
    load();
  }

  public void close() {
    closed = true;
  }

  private void load() {
    if (closed || loading) {
      return;
    }
    loading = true;
    List<Listing> got = new ArrayList<>();
    String[] prefixes = {
      StateCodec.LEADER,
      StateCodec.BARS,
      StateCodec.TERM,
      StateCodec.SETTINGS,
      StateCodec.DEMAND,
      StateCodec.IMAGES,
      StateCodec.JOBS,
      StateCodec.TASK_BATCHES
    };
    loadNext(prefixes, 0, got);
  }

  private void loadNext(String[] prefixes, int i, List<Listing> got) {
    if (i == prefixes.length) {
      loadHints(got);
      return;
    }
    state.list(
        prefixes[i],
        Use.CLAIM,
        listing -> {
          if (listing == null) {
            loading = false;
            loop.after(StateClient.STATE_RETRY_S, this::load);
          } else {
            got.add(listing);
            if (prefixes[i].equals(StateCodec.TERM) && !electionLoaded) {
              learnHead(got);
            }
            loadNext(prefixes, i + 1, got);
          }
        });
  }

  /** Below its level there are none in the compact form. */
  private void loadHints(List<Listing> got) {
    if (!features.gate().present(Feature.COMPACT_HINTS)) {
      loading = false;
      take(got);
      return;
    }
    state.list(
        FeatureCodec.HINTS,
        Use.CLAIM,
        listing -> {
          loading = false;
          if (listing == null) {
            loop.after(StateClient.STATE_RETRY_S, this::load);
          } else {
            got.add(listing);
            take(got);
          }
        });
  }

  /**
   * Who owns the fleet and with which term is known before all else, so that a node that nobody is
   * before can win a term, and keep workers' leases alive, while it still reads the records.
   */
  private void learnHead(List<Listing> lists) {
    revision = lists.get(0).revision();
    lists.forEach(this::putAll);
    features.read();
    electionLoaded = true;
    leaderChanged = false;
    listener.onLeader();
  }

  private void putAll(Listing listing) {
    for (StoredRecord record : listing.records()) {
      put(record.key(), record.value(), record.revision());
    }
  }

  private void take(List<Listing> lists) {
    // Ends that were learned stay: they are final.
    for (String id : new ArrayList<>(jobs.keySet())) {
      removeJob(id, Long.MAX_VALUE);
    }
    orphanedTaskBatches.clear();
    election.clear(watched);
    features.clear();
    quota.clear();
    compactHints.clear();
    revision = lists.get(0).revision();
    lists.forEach(this::putAll);
    // What changed while the pages were read comes with the first catch-up.
    catchUp(
        ok -> {
          if (ok) {
            boolean first = !loaded;
            loaded = true;
            watched = true;
            completeAsOf = linearizableAt;
            if (first) {
              LOG.info("loaded {} jobs at revision {}", jobs.size(), revision);
            }
            listener.onLeader();
            listener.onSettings();
            listener.onQuota();
            watch(++generation);
          } else {
            loop.after(StateClient.STATE_RETRY_S, this::load);
          }
        });
  }

  /** The long-lived read; one of an earlier load ends by itself. */
  private void watch(int gen) {
    if (closed || gen != generation) {
      return;
    }
    double pause = Math.max(WATCH_EVERY_S, state.budget().readIntervalS());
    double wait = lastWatch + pause - loop.now();
    if (wait > 0) {
      loop.after(wait, () -> watch(gen));
      return;
    }
    lastWatch = loop.now();
    double sentAt = lastWatch;
    state.watch(
        StateCodec.ROOT,
        revision,
        WATCH_BLOCK_MS,
        Use.CLAIM,
        r -> {
          if (r.succeeded()) {
            apply(r.body());
            sure(sentAt);
            watch(gen);
          } else if (r.outcome() == StoreOutcome.NOT_FOUND) {
            loaded = false;
            load();
          } else {
            loop.after(StateClient.STATE_RETRY_S, () -> watch(gen));
          }
        });
  }

  /** Calls back with true once everything that had committed before this call has been seen. */
  public void catchUp(Consumer<Boolean> done) {
    waiting.add(done);
    catchSoon();
  }

  private void catchSoon() {
    if (catching || waiting.isEmpty()) {
      return;
    }
    catching = true;
    double pause = Math.max(CATCH_UP_EVERY_S, state.budget().readIntervalS());
    double wait = lastCatch + pause - loop.now();
    if (wait > 0) {
      loop.after(wait, this::catchNow);
    } else {
      catchNow();
    }
  }

  private void catchNow() {
    List<Consumer<Boolean>> served = waiting;
    waiting = new ArrayList<>();
    lastCatch = loop.now();
    double sentAt = lastCatch;
    state.watch(
        StateCodec.ROOT,
        revision,
        0,
        Use.SUBMISSION,
        r -> {
          catching = false;
          if (r.succeeded()) {
            apply(r.body());
            sure(sentAt);
          } else if (r.outcome() == StoreOutcome.NOT_FOUND) {
            loaded = false;
            load();
          }
          for (Consumer<Boolean> c : served) {
            c.accept(r.succeeded());
          }
          catchSoon();
        });
  }

  private void sure(double sentAt) {
    linearizableAt = Math.max(linearizableAt, sentAt);
    completeAsOf = loaded ? linearizableAt : completeAsOf;
  }

  private void apply(JsonNode body) {
    long upTo = body.path("ledger").asLong();
    for (JsonNode e : body.path("news")) {
      long changedAt = e.path("mark").asLong();
      if (changedAt <= revision) {
        continue; // Seen already, through the other read.
      }
      if (e.has("put")) {
        put(e.get("put").asText(), e.path("data"), changedAt);
      } else if (e.has("drop")) {
        drop(e.get("drop").asText(), changedAt);
      }
    }
    revision = Math.max(revision, upTo);
    // A change of the leader's record may come with one of the level that says where it stands.
    if (leaderChanged && loaded) {
      leaderChanged = false;
      quotaChanged = true; // The level says whether stored limits count.
      listener.onLeader();
    }
    // Only now: the task batches of the same transactions are to be taken before the accounts.
    if (quotaChanged && loaded) {
      quotaChanged = false;
      listener.onQuota();
    }
  }

  private void put(String key, JsonNode value, long revision) {
    if (key.startsWith(StateCodec.JOBS)) {
      putJob(key.substring(StateCodec.JOBS.length()), value, revision);
    } else if (key.startsWith(StateCodec.TASK_BATCHES)) {
      putTaskBatch(
          StateCodec.batchOf(key), new TaskBatchEntry(StateCodec.taskBatch(value), revision));
    } else if (key.startsWith(StateCodec.ENDS)) {
      String id = key.substring(StateCodec.ENDS.length());
      ends.put(id, StateCodec.finalState(value));
      listener.onFinalState(id, ends.get(id));
    } else if (quota.put(key, value, revision)) {
      quotaChanged = true;
    } else if (features.put(key, value, revision) || election.put(key, value, revision)) {
      leaderChanged = true;
    } else if (key.equals(StateCodec.DEMAND)) {
      demand = value;
    } else if (key.startsWith(StateCodec.IMAGES)) {
      images.put(key, value);
    } else if (key.startsWith(FeatureCodec.HINTS)) {
      compactHints.put(key, value);
    } else if (key.startsWith(StateCodec.LEASE_DELEGATES)) {
      listener.onDelegateReleased(
          key.substring(StateCodec.LEASE_DELEGATES.length()),
          StateCodec.leaseDelegateRelease(value));
    } else if (key.equals(StateCodec.SETTINGS) && revision > settingsRevision) {
      settings = value;
      settingsRevision = revision;
      told(listener::onSettings);
    }
  }

  private void told(Runnable r) {
    if (loaded) {
      r.run();
    }
  }

  private void putJob(String id, JsonNode value, long revision) {
    JobEntry e = jobs.get(id);
    if (e != null && revision <= e.revision()) {
      return;
    }
    if (e == null) {
      e = new JobEntry(StateCodec.job(id, value));
      jobs.put(id, e);
      for (TaskBatchKey k : new ArrayList<>(orphanedTaskBatches.keySet())) {
        if (k.job().equals(id)) {
          e.taskBatches.put(k.index(), orphanedTaskBatches.remove(k));
        }
      }
    }
    e.update(revision, StateCodec.stopOf(value));
    if (e.isCancelled()) {
      cancelledJobs.add(id);
    }
    listener.onJob(e);
  }

  private void putTaskBatch(TaskBatchKey key, TaskBatchEntry s) {
    JobEntry e = jobs.get(key.job());
    TaskBatchEntry old = e == null ? orphanedTaskBatches.get(key) : e.taskBatches.get(key.index());
    if (old != null && s.revision() <= old.revision()) {
      return;
    }
    if (e == null) {
      orphanedTaskBatches.put(key, s);
    } else {
      e.taskBatches.put(key.index(), s);
    }
    listener.onTaskBatch(key, s);
  }

  private void drop(String key, long revision) {
    if (key.startsWith(StateCodec.JOBS)) {
      removeJob(key.substring(StateCodec.JOBS.length()), revision);
    } else if (key.startsWith(StateCodec.TASK_BATCHES)) {
      TaskBatchKey k = StateCodec.batchOf(key);
      JobEntry e = jobs.get(k.job());
      TaskBatchEntry s = e == null ? orphanedTaskBatches.get(k) : e.taskBatches.get(k.index());
      if (s != null && s.revision() < revision) {
        if (e == null) {
          orphanedTaskBatches.remove(k);
        } else {
          e.taskBatches.remove(k.index());
        }
        listener.onTaskBatchGone(k);
      }
    } else if (quota.drop(key, revision)) {
      quotaChanged = true;
    } else if (features.drop(key, revision) || election.drop(key, revision)) {
      leaderChanged = true;
    } else if (key.startsWith(StateCodec.IMAGES)) {
      images.remove(key);
    } else if (key.equals(StateCodec.DEMAND)) {
      demand = null;
    } else if (key.startsWith(FeatureCodec.HINTS)) {
      compactHints.remove(key);
    }
  }

  private void removeJob(String id, long revision) {
    JobEntry e = jobs.get(id);
    if (e == null || e.revision() >= revision) {
      return;
    }
    jobs.remove(id);
    cancelledJobs.remove(id);
    e.taskBatches.forEach((i, s) -> orphanedTaskBatches.put(new TaskBatchKey(id, i), s));
    listener.onJobGone(id);
  }
}
