package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.Json;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;

/**
 * A simulated user that continuously submits, polls and cancels jobs on its own thread. It checks
 * the responses: no accepted job may become unknown, no finished job may change its state, and no
 * job may be cancelled without a request.
 */
final class UserSimulator implements Runnable {
  private static final int TASKS_PER_JOB = 2;
  private static final long PAUSE_MS = 60;
  private static final long TIMEOUT_S = 5;

  /** The last known state of a job. */
  private static final class TrackedJob {
    boolean accepted;
    boolean cancelRequested;
    String lastState = "";

    boolean isFinished() {
      return lastState.equals("done") || lastState.equals("cancelled");
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final IntFunction<String> addressOf;
  private final int controllerCount;
  private final Map<String, TrackedJob> jobs = new LinkedHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int refusedCount;
  private int lateCount;
  private int requestCount;
  private int pollCount;
  private volatile boolean stop;

  UserSimulator(int controllerCount, IntFunction<String> addressOf) {
    this.controllerCount = controllerCount;
    this.addressOf = addressOf;
  }

  void stop() {
    stop = true;
  }

  /** Contradictions between responses; to be read after the thread has ended. */
  List<String> violations() {
    return violations;
  }

  /** Number of submissions that got a status other than 200 or 201, or no response. */
  int refusedCount() {
    return refusedCount;
  }

  /** Number of submissions that took longer than a second. */
  int lateCount() {
    return lateCount;
  }

  int acceptedCount() {
    return (int) jobs.values().stream().filter(job -> job.accepted).count();
  }

  /** Accepted jobs that are neither done nor cancelled, with their last known state. */
  List<String> unfinishedJobs() {
    List<String> unfinished = new ArrayList<>();
    jobs.forEach(
        (id, job) -> {
          if (job.accepted && !job.isFinished()) {
            unfinished.add(id + " " + job.lastState);
          }
        });
    return unfinished;
  }

  List<String> doneJobs() {
    List<String> done = new ArrayList<>();
    jobs.forEach(
        (id, job) -> {
          if (job.lastState.equals("done")) {
            done.add(id);
          }
        });
    return done;
  }

  @Override
  public void run() {
    try {
      for (int i = 0; !stop; i++) {
        String id = String.format("j-%06d", i);
        submit(id);
        if (i % 6 == 5) {
          cancel(String.format("j-%06d", i - 2));
        }
        poll(4);
        Thread.sleep(PAUSE_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Polls until every accepted job is finished; false if some are not after the given number of
   * rounds.
   */
  boolean awaitAllFinished(int rounds) throws InterruptedException {
    for (int i = 0; i < rounds && !unfinishedJobs().isEmpty(); i++) {
      poll(jobs.size());
      Thread.sleep(PAUSE_MS);
    }
    return unfinishedJobs().isEmpty();
  }

  private void submit(String id) throws InterruptedException {
    TrackedJob job = jobs.computeIfAbsent(id, key -> new TrackedJob());
    String body =
        """
        {"ref":"%s","lot":"batch","crew":"team","cut":"array","urgency":"normal","boards":%d,
         "cpus":1.0,"cards":0.0,"mem_gb":1.0,"blade":"i","pull_gb":1.0,"rigs":null,"yard":null,
         "one_zone":false,"apart":false,"borrowed":true,"expected_s":1.0,"stack_s":0.0,
         "stack_write_s":0.0,"ship_s":null}\
        """
            .formatted(id, TASKS_PER_JOB);
    long startNanos = System.nanoTime();
    int status = request("POST", "/v1/jobs", body, job, id);
    lateCount += System.nanoTime() - startNanos > 1_000_000_000L ? 1 : 0;
    if (status == 200 || status == 201) {
      job.accepted = true;
    } else {
      refusedCount++;
    }
  }

  private void cancel(String id) throws InterruptedException {
    TrackedJob job = jobs.get(id);
    if (job.accepted && !job.isFinished()) {
      job.cancelRequested = true;
      request("POST", "/v1/jobs/" + id + "/withdraw", "", job, id);
    }
  }

  private void poll(int count) throws InterruptedException {
    List<String> ids = new ArrayList<>(jobs.keySet());
    for (int i = 0; i < count; i++) {
      String id = ids.get(pollCount++ % ids.size());
      if (jobs.get(id).accepted) {
        request("GET", "/v1/jobs/" + id, null, jobs.get(id), id);
      }
    }
  }

  /**
   * Sends a request to the next controller in turn; returns the status, or 0 if there was no
   * response.
   */
  private int request(String method, String path, String body, TrackedJob job, String id)
      throws InterruptedException {
    String server = addressOf.apply(requestCount++ % controllerCount);
    HttpRequest httpRequest =
        HttpRequest.newBuilder(URI.create("http://" + server + path))
            .timeout(Duration.ofSeconds(TIMEOUT_S))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      HttpResponse<byte[]> response =
          client.send(httpRequest, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode responseBody = response.body().length == 0 ? null : Json.read(response.body());
      recordResponse(
          id,
          job,
          response.statusCode(),
          responseBody == null ? "" : responseBody.path("stage").asText());
      return response.statusCode();
    } catch (java.io.IOException e) {
      return 0; // The controller is being restarted: the next request goes to the next one.
    }
  }

  private void recordResponse(String id, TrackedJob job, int status, String state) {
    if (job.accepted && (status == 404 || status == 400 || status == 422)) {
      violations.add(id + " was accepted and is now unknown: status " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (job.isFinished() && !state.equals(job.lastState)) {
      violations.add(id + " was finished, but changed from " + job.lastState + " to " + state);
    }
    if (state.equals("cancelled") && !job.cancelRequested) {
      violations.add(id + " was cancelled without a request");
    }
    job.lastState = state;
  }
}
