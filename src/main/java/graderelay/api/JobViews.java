package graderelay.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Scheduler;
import graderelay.core.TaskBatchRecord;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.JobEntry;
import graderelay.wire.Json;
import java.util.HashSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * JSON views of live jobs for operators: {@code /admin/jobs} is a page of jobs from this
 * controller's cache, sorted by id; {@code /admin/jobs/ID} is one job with the reason why it waits,
 * its DAG dependencies and its claims, on the leader only. Runs on the event loop.
 */
final class JobViews {
  private final Loop loop;
  private final Cache cache;
  private final Supplier<Scheduler> scheduler;

  /**
   * Creates the views.
   *
   * @param scheduler the scheduler while this controller is the leader, else null
   */
  JobViews(Loop loop, Cache cache, Supplier<Scheduler> scheduler) {
    this.loop = loop;
    this.cache = cache;
    this.scheduler = scheduler;
  }

  /**
   * Answers with a page of live jobs after the query's {@code after}, filtered by team and class.
   */
  void listJobs(Exchange exchange) {
    Optional<ListQuery> query = ListQuery.parse(exchange.query());
    if (query.isEmpty()) {
      Replies.BAD_LIST_QUERY.sendTo(exchange);
    } else {
      Replies.json(exchange, 200, jobsPage(query.get()));
    }
  }

  private ObjectNode jobsPage(ListQuery query) {
    ArrayNode page = Json.array();
    boolean truncated = false;
    for (JobEntry job : new TreeMap<>(cache.jobs()).tailMap(query.after(), false).values()) {
      if (!query.matches("team", job.spec.team()) || !query.matches("class", job.spec.jobClass())) {
        continue;
      }
      if (page.size() >= query.limit()) {
        truncated = true;
        break;
      }
      page.add(describe(job));
    }
    ObjectNode body = Json.object().put("live_jobs", cache.jobs().size());
    body.put("truncated", truncated);
    body.set("jobs", page);
    return body;
  }

  /**
   * Answers with one live job, why it waits, its dependencies, its dependents and its claims; or
   * 404.
   */
  void showJob(Exchange exchange, String id) {
    JobEntry job = cache.job(id);
    if (job == null) {
      ApiError.notFound("no live job " + id).sendTo(exchange);
      return;
    }
    ObjectNode body = describe(job);
    body.put("waits_because", scheduler.get().waitReason(id));
    addWait(body, id);
    job.spec.dependencies().forEach(body.putArray("needs")::add);
    addDependents(body.putArray("needed_by"), id);
    addClaims(body.putArray("claims"), job);
    Replies.json(exchange, 200, body);
  }

  private void addWait(ObjectNode body, String id) {
    Scheduler.JobWait wait = scheduler.get().jobWait(id, loop.now());
    if (wait != null) {
      body.put("waits_until", wait.endedBy()).put("machines_excluded", wait.machines());
    }
  }

  private ObjectNode describe(JobEntry job) {
    TaskCounts counts = TaskCounts.of(job);
    boolean isStopping =
        job.isCancelled()
            || CancellationResolver.isCancelledByDependency(cache, job.spec, new HashSet<>());
    String stage = isStopping ? "stopping" : counts.claimed() > 0 ? "running" : "waiting";
    return Json.object()
        .put("id", job.spec.id())
        .put("class", job.spec.jobClass())
        .put("team", job.spec.team())
        .put("stage", stage)
        .put("tasks", job.spec.tasks())
        .put("done", counts.done())
        .put("claimed", counts.claimed());
  }

  /** Adds the live jobs that depend on job {@code id}, sorted by id. */
  private void addDependents(ArrayNode dependents, String id) {
    for (JobEntry other : new TreeMap<>(cache.jobs()).values()) {
      if (other.spec.dependencies().contains(id) && dependents.size() < ListQuery.MAX_ENTRIES) {
        dependents.add(other.spec.id());
      }
    }
  }

  private static void addClaims(ArrayNode claims, JobEntry job) {
    for (var entry : job.taskBatches.entrySet()) {
      TaskBatchRecord batch = entry.getValue().record();
      int firstTask = entry.getKey() * job.spec.batchCapacity();
      for (int i = 0; i < batch.size() && claims.size() < ListQuery.MAX_ENTRIES; i++) {
        if (batch.machine(i) != null) {
          claims
              .addObject()
              .put("task", job.spec.taskId(firstTask + i))
              .put("attempt", batch.attempt(i))
              .put("machine", batch.machine(i))
              .put("session", batch.session(i));
        }
      }
    }
  }
}
