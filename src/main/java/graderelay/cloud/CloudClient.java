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

/** Client of the cloud's API, which respects its rate limit. Used on the event loop only. */
public final class CloudClient {
  /**
   * Minimum time between reads of the list of machines; the list itself lags by several seconds.
   */
  private static final double MIN_LIST_INTERVAL_S = 4;

  /**
   * Maximum fraction of the request rate for reads of the list of machines. Without it, the pages
   * of a fleet of thousands of machines would leave no requests for scale-out and scale-in.
   */
  private static final double LIST_RATE_FRACTION = 0.4;

  /**
   * Delay before a failed request is retried: a read of the machine types, without which no job is
   * accepted, or a scale-out.
   */
  public static final double RETRY_DELAY_S = 1;

  /** Timeout of a request to the cloud. */
  private static final double CALL_TIMEOUT_S = 5.0;

  /**
   * Fraction of the cloud's rate limit that one controller uses. The rest is for the others, which
   * only read the machine types.
   */
  private static final double RATE_FRACTION = 0.8;

  /** Maximum number of machines in one page of the list, a limit of the protocol. */
  private static final int MAX_MACHINES_PER_PAGE = 500;

  /** Maximum number of requests for one scale-out, all under the same name. */
  private static final int MAX_SCALE_OUT_ATTEMPTS = 3;

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  /**
   * Result of a scale-out.
   *
   * @param machineNames names of the new machines, or null if none were created or the outcome is
   *     unknown
   * @param noCapacity true if the cloud has no such machine left
   */
  public record ScaleOutResult(List<String> machineNames, boolean noCapacity) {
    static ScaleOutResult created(List<String> machineNames) {
      return new ScaleOutResult(machineNames, false);
    }

    static ScaleOutResult outOfCapacity() {
      return new ScaleOutResult(null, true);
    }

    static ScaleOutResult unknownOutcome() {
      return new ScaleOutResult(null, false);
    }
  }

  private record ScaleOutRequest(String name, String type, String zone, boolean spot, int count) {}

  /** A response of the cloud; {@code body} is null without a response or if it is not JSON. */
  private record Response(int status, JsonNode body) {
    static final Response NONE = new Response(Reply.NO_RESPONSE, null);

    boolean isOk() {
      return status == 200;
    }

    boolean hasResult() {
      return isOk() && body != null;
    }

    boolean isNoCapacity() {
      return status == SERVICE_UNAVAILABLE && CloudCodec.decodeNoCapacity(body);
    }
  }

  private final Loop loop;
  private final Transport transport;
  private final String address;
  private final TokenBucket tokenBucket;
  private final Map<String, Long> responseCounts = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param address host and port of the cloud's API
   * @param requestsPerS rate limit of the cloud's API
   */
  public CloudClient(Loop loop, Transport transport, String address, double requestsPerS) {
    this.loop = loop;
    this.transport = transport;
    this.address = address;
    // The cloud allows bursts of two seconds' worth of requests.
    this.tokenBucket = new TokenBucket(loop, requestsPerS * RATE_FRACTION, requestsPerS);
  }

  /** Returns the number of responses by path and status, for metrics. */
  public Map<String, Long> responseCounts() {
    return responseCounts;
  }

  /** Returns the token bucket that limits all requests. */
  public TokenBucket tokenBucket() {
    return tokenBucket;
  }

  /** Reads the machine types; passes null to the callback if the request fails. */
  public void listMachineTypes(Consumer<List<MachineType>> callback) {
    call(
        CallPriority.READ,
        "GET",
        "/machine_types",
        null,
        response ->
            callback.accept(
                response.hasResult() ? CloudCodec.decodeMachineTypes(response.body()) : null));
  }

  /**
   * Returns the time between reads of the list of machines, which leaves most requests for other
   * uses.
   */
  public double listIntervalS(int machineCount) {
    double pages = 1 + machineCount / (double) MAX_MACHINES_PER_PAGE;
    return Math.max(MIN_LIST_INTERVAL_S, pages / (tokenBucket.tokensPerS() * LIST_RATE_FRACTION));
  }

  /** Reads the entire list of machines; passes null to the callback if a page cannot be read. */
  public void listMachines(Consumer<List<ListedMachine>> callback) {
    listMachinesAfter("", new ArrayList<>(), callback);
  }

  private void listMachinesAfter(
      String afterName, List<ListedMachine> machines, Consumer<List<ListedMachine>> callback) {
    call(
        CallPriority.READ,
        "GET",
        "/machines?after=" + afterName + "&most=" + MAX_MACHINES_PER_PAGE,
        null,
        response -> {
          if (response.hasResult()) {
            onPage(response.body(), machines, callback);
          } else {
            callback.accept(null);
          }
        });
  }

  private void onPage(
      JsonNode body, List<ListedMachine> machines, Consumer<List<ListedMachine>> callback) {
    List<ListedMachine> page = CloudCodec.decodeMachines(body);
    machines.addAll(page);
    if (CloudCodec.decodeTruncated(body) && !page.isEmpty()) {
      listMachinesAfter(page.get(page.size() - 1).name(), machines, callback);
    } else {
      callback.accept(machines);
    }
  }

  /**
   * Creates {@code count} machines. A failed request is retried under the same name, so that the
   * machines are created only once; {@code name} must never be used for a different request.
   */
  public void scaleOut(
      String name,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<ScaleOutResult> callback) {
    scaleOut(new ScaleOutRequest(name, type, zone, spot, count), MAX_SCALE_OUT_ATTEMPTS, callback);
  }

  private void scaleOut(
      ScaleOutRequest request, int attemptsLeft, Consumer<ScaleOutResult> callback) {
    call(
        CallPriority.CLAIM,
        "POST",
        "/machines",
        CloudCodec.encodeScaleOut(
            request.name(), request.type(), request.zone(), request.spot(), request.count()),
        response -> {
          if (response.hasResult()) {
            callback.accept(ScaleOutResult.created(CloudCodec.decodeMachineNames(response.body())));
          } else if (response.isNoCapacity()) {
            callback.accept(ScaleOutResult.outOfCapacity());
          } else if (attemptsLeft > 1) {
            loop.schedule(RETRY_DELAY_S, () -> scaleOut(request, attemptsLeft - 1, callback));
          } else {
            callback.accept(ScaleOutResult.unknownOutcome());
          }
        });
  }

  /** Deletes machines; passes true to the callback if the cloud confirms it. */
  public void scaleIn(List<String> names, Consumer<Boolean> callback) {
    call(
        CallPriority.CLAIM,
        "POST",
        "/machines/delete",
        CloudCodec.encodeMachineNames(names),
        response -> callback.accept(response.isOk()));
  }

  /**
   * Sends a request once a token is available; passes {@link Response#NONE} to the callback if the
   * token bucket refuses it.
   */
  private void call(
      CallPriority use, String method, String path, JsonNode body, Consumer<Response> callback) {
    tokenBucket.take(
        use,
        1,
        granted -> {
          if (granted) {
            send(method, path, body, callback);
          } else {
            callback.accept(Response.NONE);
          }
        });
  }

  private void send(String method, String path, JsonNode body, Consumer<Response> callback) {
    transport.call(
        address,
        method,
        path,
        body == null ? null : Json.write(body),
        CALL_TIMEOUT_S,
        reply -> callback.accept(onReply(path, reply)));
  }

  private Response onReply(String path, Reply reply) {
    if (reply.status() == TOO_MANY_REQUESTS) {
      tokenBucket.onThrottled();
    }
    boolean responded = reply.status() != Reply.NO_RESPONSE;
    String pathAndStatus = path.split("\\?", 2)[0] + " " + (responded ? reply.status() : "none");
    responseCounts.merge(pathAndStatus, 1L, Long::sum);
    return new Response(reply.status(), responded ? Json.read(reply.body()) : null);
  }
}
