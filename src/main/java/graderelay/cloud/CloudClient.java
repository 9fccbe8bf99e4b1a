package graderelay.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.ListedMachine;
import graderelay.core.MachineType;
import graderelay.net.Loop;
import graderelay.net.Reply;
import graderelay.net.TokenBucket;
import graderelay.net.TokenBucket.Use;
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
  private static final double MIN_LIST_INTERVAL_S = 4;

  /**
   * Share of the cloud's rate that lists may take: the pages of a fleet of thousands would leave no
   * calls for scale-out and scale-in, which need the rest.
   */
  private static final double LIST_RATE_FRACTION = 0.4;

  /**
   * Seconds before a failed call is repeated: a read of the types, without which nothing is
   * accepted, or a scale-out.
   */
  public static final double RETRY_DELAY_S = 1;

  /** Seconds to wait for the cloud. */
  private static final double CALL_TIMEOUT_S = 5.0;

  /** Share of the cloud's rate that this controller uses; the others only read the types. */
  private static final double RATE_FRACTION = 0.8;

  /** Machines in one page of the list, a batch; a limit of the protocol. */
  private static final int MAX_MACHINES_PER_PAGE = 500;

  /** Requests for one scale-out, all under the same name. */
  private static final int MAX_SCALE_OUT_ATTEMPTS = 3;

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  /**
   * What a scale-out came to.
   *
   * @param machineNames the new machines, or null if there are none or nobody knows
   * @param noCapacity true if the pool is empty
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

  /** The cloud's answer; {@code body} is null if none came or it is no JSON. */
  private record Response(int status, JsonNode body) {
    static final Response NONE = new Response(Reply.NO_ANSWER, null);

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
   * Makes a client.
   *
   * @param address the cloud's, host:port
   * @param rps requests a second that the cloud takes
   */
  public CloudClient(Loop loop, Transport transport, String address, double requestsPerS) {
    this.loop = loop;
    this.transport = transport;
    this.address = address;
    // Bursts of two seconds' worth are allowed.
    this.tokenBucket = new TokenBucket(loop, requestsPerS * RATE_FRACTION, requestsPerS);
  }

  /** The number of answers by path and status, as metrics show them. */
  public Map<String, Long> responseCounts() {
    return responseCounts;
  }

  /** The bucket that all calls take their tokens from. */
  public TokenBucket tokenBucket() {
    return tokenBucket;
  }

  /** Reads the machine types; calls back with null if there was no answer. */
  public void listMachineTypes(Consumer<List<MachineType>> callback) {
    call(
        Use.READ,
        "GET",
        "/machine_types",
        null,
        response ->
            callback.accept(
                response.hasResult() ? CloudCodec.decodeMachineTypes(response.body()) : null));
  }

  /** Seconds that should lie between lists, so that most calls are left for other uses. */
  public double listIntervalS(int machineCount) {
    double pages = 1 + machineCount / (double) MAX_MACHINES_PER_PAGE;
    return Math.max(MIN_LIST_INTERVAL_S, pages / (tokenBucket.rate() * LIST_RATE_FRACTION));
  }

  /** Reads the whole list of machines; calls back with null if a page of it did not come. */
  public void listMachines(Consumer<List<ListedMachine>> callback) {
    listMachinesAfter("", new ArrayList<>(), callback);
  }

  private void listMachinesAfter(
      String afterName, List<ListedMachine> machines, Consumer<List<ListedMachine>> callback) {
    call(
        Use.READ,
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
   * Scales out by {@code count} machines under a name that is used for this one request for ever. A
   * request without an answer is repeated under the same name, so that it creates them once.
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
        Use.CLAIM,
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
            loop.after(RETRY_DELAY_S, () -> scaleOut(request, attemptsLeft - 1, callback));
          } else {
            callback.accept(ScaleOutResult.unknownOutcome());
          }
        });
  }

  /** Deletes machines; calls back with true once the cloud has said that they are gone. */
  public void scaleIn(List<String> names, Consumer<Boolean> callback) {
    call(
        Use.CLAIM,
        "POST",
        "/machines/delete",
        CloudCodec.encodeMachineNames(names),
        response -> callback.accept(response.isOk()));
  }

  /** Makes a call once there is a token for it; calls back with no answer if it is refused. */
  private void call(
      Use use, String method, String path, JsonNode body, Consumer<Response> callback) {
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
      tokenBucket.penalty();
    }
    boolean responded = reply.status() != Reply.NO_ANSWER;
    String pathAndStatus = path.split("\\?", 2)[0] + " " + (responded ? reply.status() : "none");
    responseCounts.merge(pathAndStatus, 1L, Long::sum);
    return new Response(reply.status(), responded ? Json.read(reply.body()) : null);
  }
}
