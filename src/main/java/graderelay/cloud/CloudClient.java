package graderelay.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.ListedMachine;
import graderelay.core.MachineType;
import graderelay.net.Loop;
import graderelay.net.Reply;
import graderelay.net.TokenBucket;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.net.Transport;
import graderelay.wire.CloudCodec;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Calls the cloud's API, within its rate. Used on the event loop only. */
public final class CloudClient {
  /** Seconds between lists of the machines at the least; the list itself lags by several. */
  private static final double LIST_EVERY_S = 4;

  /**
   * Share of the cloud's rate that lists may take: the pages of a fleet of thousands would leave no
   * calls for scale-out and scale-in, which need the rest.
   */
  private static final double LIST_SHARE = 0.4;

  /**
   * Seconds before a failed call is repeated: a read of the types, without which nothing is
   * accepted, or a scale-out.
   */
  public static final double TYPES_RETRY_S = 1;

  /** Seconds to wait for the cloud. */
  private static final double CLOUD_TIMEOUT_S = 5.0;

  /** Share of the cloud's rate that this controller uses; the others only read the types. */
  private static final double RATE_SHARE = 0.8;

  /** Machines in one page of the list, a batch; a limit of the protocol. */
  private static final int MOST_IN_PAGE = 500;

  /** Requests for one scale-out, all under the same name. */
  private static final int SCALE_OUT_ATTEMPTS = 3;

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  /**
   * What a scale-out came to.
   *
   * @param names the new machines, or null if there are none or nobody knows
   * @param noCapacity true if the pool is empty
   */
  public record ScaledOut(List<String> names, boolean noCapacity) {
    static ScaledOut created(List<String> names) {
      return new ScaledOut(names, false);
    }

    static ScaledOut emptyPool() {
      return new ScaledOut(null, true);
    }

    static ScaledOut unknown() {
      return new ScaledOut(null, false);
    }
  }

  private record ScaleOutRequest(String name, String type, String zone, boolean spot, int count) {}

  /** The cloud's answer; {@code body} is null if none came or it is no JSON. */
  private record Answer(int status, JsonNode body) {
    static final Answer NONE = new Answer(Reply.NO_RESPONSE, null);

    boolean ok() {
      return status == 200;
    }

    boolean hasResult() {
      return ok() && body != null;
    }

    boolean saysNoCapacity() {
      return status == UNAVAILABLE && CloudCodec.decodeNoCapacity(body);
    }
  }

  private final Loop loop;
  private final Transport transport;
  private final String address;
  private final TokenBucket tokens;
  private final Map<String, Long> outcomes = new HashMap<>();

  /**
   * Makes a client.
   *
   * @param address the cloud's, host:port
   * @param rps requests a second that the cloud takes
   */
  public CloudClient(Loop loop, Transport transport, String address, double rps) {
    this.loop = loop;
    this.transport = transport;
    this.address = address;
    // Bursts of two seconds' worth are allowed.
    this.tokens = new TokenBucket(loop, rps * RATE_SHARE, rps);
  }

  /** The number of answers by path and status, as metrics show them. */
  public Map<String, Long> outcomes() {
    return outcomes;
  }

  /** The bucket that all calls take their tokens from. */
  public TokenBucket tokens() {
    return tokens;
  }

  /** Reads the machine types; calls back with null if there was no answer. */
  public void types(Consumer<List<MachineType>> done) {
    call(
        CallPriority.READ,
        "GET",
        "/machine_types",
        null,
        answer ->
            done.accept(answer.hasResult() ? CloudCodec.decodeMachineTypes(answer.body()) : null));
  }

  /** Seconds that should lie between lists, so that most calls are left for other uses. */
  public double listEveryS(int machines) {
    double pages = 1 + machines / (double) MOST_IN_PAGE;
    return Math.max(LIST_EVERY_S, pages / (tokens.tokensPerS() * LIST_SHARE));
  }

  /** Reads the whole list of machines; calls back with null if a page of it did not come. */
  public void list(Consumer<List<ListedMachine>> done) {
    listAfter("", new ArrayList<>(), done);
  }

  private void listAfter(
      String after, List<ListedMachine> read, Consumer<List<ListedMachine>> done) {
    call(
        CallPriority.READ,
        "GET",
        "/machines?after=" + after + "&most=" + MOST_IN_PAGE,
        null,
        answer -> {
          if (answer.hasResult()) {
            onPage(answer.body(), read, done);
          } else {
            done.accept(null);
          }
        });
  }

  private void onPage(JsonNode body, List<ListedMachine> read, Consumer<List<ListedMachine>> done) {
    List<ListedMachine> page = CloudCodec.decodeMachines(body);
    read.addAll(page);
    if (CloudCodec.decodeTruncated(body) && !page.isEmpty()) {
      listAfter(page.get(page.size() - 1).name(), read, done);
    } else {
      done.accept(read);
    }
  }

  /**
   * Scales out by {@code count} machines under a name that is used for this one request for ever. A
   * request without an answer is repeated under the same name, so that it creates them once.
   */
  public void scaleOut(
      String name, String type, String zone, boolean spot, int count, Consumer<ScaledOut> done) {
    scaleOut(new ScaleOutRequest(name, type, zone, spot, count), SCALE_OUT_ATTEMPTS, done);
  }

  private void scaleOut(ScaleOutRequest request, int attemptsLeft, Consumer<ScaledOut> done) {
    call(
        CallPriority.CLAIM,
        "POST",
        "/machines",
        CloudCodec.encodeScaleOut(
            request.name(), request.type(), request.zone(), request.spot(), request.count()),
        answer -> {
          if (answer.hasResult()) {
            done.accept(ScaledOut.created(CloudCodec.decodeMachineNames(answer.body())));
          } else if (answer.saysNoCapacity()) {
            done.accept(ScaledOut.emptyPool());
          } else if (attemptsLeft > 1) {
            loop.schedule(TYPES_RETRY_S, () -> scaleOut(request, attemptsLeft - 1, done));
          } else {
            done.accept(ScaledOut.unknown());
          }
        });
  }

  /** Deletes machines; calls back with true once the cloud has said that they are gone. */
  public void scaleIn(List<String> names, Consumer<Boolean> done) {
    call(
        CallPriority.CLAIM,
        "POST",
        "/machines/delete",
        CloudCodec.encodeMachineNames(names),
        answer -> done.accept(answer.ok()));
  }

  /** Makes a call once there is a token for it; calls back with no answer if it is refused. */
  private void call(
      CallPriority use, String method, String path, JsonNode body, Consumer<Answer> done) {
    tokens.take(
        use,
        1,
        granted -> {
          if (granted) {
            send(method, path, body, done);
          } else {
            done.accept(Answer.NONE);
          }
        });
  }

  private void send(String method, String path, JsonNode body, Consumer<Answer> done) {
    transport.call(
        address,
        method,
        path,
        body == null ? null : Json.write(body),
        CLOUD_TIMEOUT_S,
        reply -> done.accept(onReply(path, reply)));
  }

  private Answer onReply(String path, Reply reply) {
    if (reply.status() == TOO_MANY_REQUESTS) {
      tokens.onThrottled();
    }
    boolean answered = reply.status() != Reply.NO_RESPONSE;
    String outcome = path.split("\\?", 2)[0] + " " + (answered ? reply.status() : "none");
    outcomes.merge(outcome, 1L, Long::sum);
    return new Answer(reply.status(), answered ? Json.read(reply.body()) : null);
  }
}
