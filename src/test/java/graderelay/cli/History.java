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
 * A user who submits, polls and cancels without pause on a thread of its own, and keeps what it was
 * told: nothing older may be answered after it, and no accepted job may be forgotten.
 */
final class History implements Runnable {
  private static final int TASKS = 2;
  private static final long PAUSE_MS = 60;
  private static final long TIMEOUT_S = 5;

  /** What the user knows of one of its jobs. */
  private static final class Job {
    boolean accepted;
    boolean cancelAsked;
    String last = "";

    boolean over() {
      return last.equals("done") || last.equals("cancelled");
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final IntFunction<String> address;
  private final int controllers;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int refused;
  private int late;
  private int turn;
  private int nextPoll;
  private volatile boolean stop;

  History(int controllers, IntFunction<String> address) {
    this.controllers = controllers;
    this.address = address;
  }

  void stop() {
    stop = true;
  }

  /** What the user was told that contradicts itself; to be read once the thread has ended. */
  List<String> violations() {
    return violations;
  }

  /** Submissions that were answered with another status than 200 and 201, or not at all. */
  int refused() {
    return refused;
  }

  /** Submissions that took longer than a second. */
  int late() {
    return late;
  }

  int accepted() {
    return (int) jobs.values().stream().filter(j -> j.accepted).count();
  }

  /** Jobs that were accepted, are not over and were not cancelled. */
  List<String> open() {
    List<String> open = new ArrayList<>();
    jobs.forEach(
        (id, j) -> {
          if (j.accepted && !j.over()) {
            open.add(id + " " + j.last);
          }
        });
    return open;
  }

  List<String> doneJobs() {
    List<String> done = new ArrayList<>();
    jobs.forEach(
        (id, j) -> {
          if (j.last.equals("done")) {
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
        pollSome(4);
        Thread.sleep(PAUSE_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Polls until every accepted job is over; false if some are not after so many rounds. */
  boolean settle(int rounds) throws InterruptedException {
    for (int i = 0; i < rounds && !open().isEmpty(); i++) {
      pollSome(jobs.size());
      Thread.sleep(PAUSE_MS);
    }
    return open().isEmpty();
  }

  private void submit(String id) throws InterruptedException {
    Job job = jobs.computeIfAbsent(id, x -> new Job());
    String body =
        """
        {"ref":"%s","lot":"batch","crew":"team","cut":"array","urgency":"normal","boards":%d,
         "cpus":1.0,"cards":0.0,"mem_gb":1.0,"blade":"i","pull_gb":1.0,"rigs":null,"yard":null,
         "one_zone":false,"apart":false,"borrowed":true,"expected_s":1.0,"stack_s":0.0,
         "stack_write_s":0.0,"ship_s":null}\
        """
            .formatted(id, TASKS);
    long began = System.nanoTime();
    int status = ask("POST", "/v1/jobs", body, job, id);
    late += System.nanoTime() - began > 1_000_000_000L ? 1 : 0;
    if (status == 200 || status == 201) {
      job.accepted = true;
    } else {
      refused++;
    }
  }

  private void cancel(String id) throws InterruptedException {
    Job job = jobs.get(id);
    if (job.accepted && !job.over()) {
      job.cancelAsked = true;
      ask("POST", "/v1/jobs/" + id + "/withdraw", "", job, id);
    }
  }

  private void pollSome(int most) throws InterruptedException {
    List<String> ids = new ArrayList<>(jobs.keySet());
    for (int i = 0; i < most; i++) {
      String id = ids.get(nextPoll++ % ids.size());
      if (jobs.get(id).accepted) {
        ask("GET", "/v1/jobs/" + id, null, jobs.get(id), id);
      }
    }
  }

  /** Asks the controllers in turn; the status, or 0 if there was no answer. */
  private int ask(String method, String path, String body, Job job, String id)
      throws InterruptedException {
    String server = address.apply(turn++ % controllers);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + server + path))
            .timeout(Duration.ofSeconds(TIMEOUT_S))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      HttpResponse<byte[]> r = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode n = r.body().length == 0 ? null : Json.read(r.body());
      told(id, job, r.statusCode(), n == null ? "" : n.path("stage").asText());
      return r.statusCode();
    } catch (java.io.IOException e) {
      return 0; // Its controller is being replaced: the next one is asked another time.
    }
  }

  private void told(String id, Job job, int status, String stage) {
    if (job.accepted && (status == 404 || status == 400 || status == 422)) {
      violations.add(id + " was accepted and is forgotten: " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (job.over() && !stage.equals(job.last)) {
      violations.add(id + " goes back from " + job.last + " to " + stage);
    }
    if (stage.equals("cancelled") && !job.cancelAsked) {
      violations.add(id + " was cancelled by nobody");
    }
    job.last = stage;
  }
}
