package graderelay.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Scheduler;
import graderelay.core.TaskBatchRecord;
import graderelay.net.Exchange;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.JobEntry;
import graderelay.state.TaskBatchEntry;
import graderelay.wire.Json;
import java.util.HashSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * What operators see of live jobs: {@code /admin/jobs}, a page by id from this controller's copy,
 * and {@code /admin/jobs/ID}, with why it waits, its DAG dependencies and its claims, on the
 * leader.
 */
final class JobViews {
  private final Cache cache;
  private final Supplier<Scheduler> scheduler;

  JobViews(Cache cache, Supplier<Scheduler> scheduler) {
    this.cache = cache;
    this.scheduler = scheduler;
  }

  private ObjectNode describe(JobEntry j) {
    int done = 0;
    int claimed = 0;
    for (TaskBatchEntry s : j.taskBatches.values()) {
      done += s.record().doneCount();
      claimed += s.record().claimedCount();
    }
    boolean stops =
        j.isCancelled() || CancellationResolver.cancelled(cache, j.spec, new HashSet<>());
    String stage = stops ? "stopping" : claimed > 0 ? "running" : "waiting";
    return Json.object()
        .put("id", j.spec.id())
        .put("class", j.spec.jobClass())
        .put("team", j.spec.team())
        .put("stage", stage)
        .put("tasks", j.spec.tasks())
        .put("done", done)
        .put("claimed", claimed);
  }

  /** A page of live jobs after the query's {@code after}, filtered by team and class. */
  void jobs(Exchange e) {
    Optional<ListQuery> asked = ListQuery.parse(e.query());
    if (asked.isEmpty()) {
      Replies.badListQuery(e);
      return;
    }
    ListQuery query = asked.get();
    ArrayNode page = Json.array();
    boolean truncated = false;
    for (JobEntry j : new TreeMap<>(cache.jobs()).tailMap(query.after(), false).values()) {
      if (!query.asks("team", j.spec.team()) || !query.asks("class", j.spec.jobClass())) {
        continue;
      }
      if (page.size() >= query.most()) {
        truncated = true;
        break;
      }
      page.add(describe(j));
    }
    ObjectNode n = Json.object().put("live_jobs", cache.jobs().size());
    n.put("truncated", truncated);
    n.set("jobs", page);
    Replies.json(e, 200, n);
  }

  /** One live job with why it waits, what it needs, what needs it, and its claims; or 404. */
  void job(Exchange e, String id) {
    JobEntry j = cache.job(id);
    if (j == null) {
      UserApi.refuse(e, 404, "no live job " + id);
      return;
    }
    ObjectNode n = describe(j);
    n.put("waits_because", scheduler.get().whyWaiting(id));
    j.spec.dependencies().forEach(n.putArray("needs")::add);
    ArrayNode neededBy = n.putArray("needed_by");
    for (JobEntry o : new TreeMap<>(cache.jobs()).values()) {
      if (o.spec.dependencies().contains(id) && neededBy.size() < ListQuery.MOST_LISTED) {
        neededBy.add(o.spec.id());
      }
    }
    ArrayNode claims = n.putArray("claims");
    for (var s : j.taskBatches.entrySet()) {
      TaskBatchRecord r = s.getValue().record();
      for (int i = 0; i < r.size() && claims.size() < ListQuery.MOST_LISTED; i++) {
        if (r.machine(i) != null) {
          claims
              .addObject()
              .put("task", j.spec.taskId(s.getKey() * j.spec.batchCapacity() + i))
              .put("attempt", r.attempt(i))
              .put("machine", r.machine(i))
              .put("session", r.session(i));
        }
      }
    }
    Replies.json(e, 200, n);
  }
}
