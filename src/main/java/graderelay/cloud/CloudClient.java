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

/** Speaks the cloud's protocol, within its rate. */
public final class CloudClient {
  /** Seconds between lists of the machines at the least; the list itself lags by several. */
  private static final double LIST_EVERY_S = 4;

  /**
   * Share of the cloud's rate that lists may take: the pages of a fleet of thousands would leave no
   * calls for rentals and deletions, which need the rest.
   */
  private static final double LIST_SHARE = 0.4;

  /** Seconds before a failed read of the types is repeated; without them nothing is accepted. */
  public static final double TYPES_RETRY_S = 1;

  /** Seconds to wait for the cloud. */
  private static final double CLOUD_TIMEOUT_S = 5.0;

  /** What a rental request came to: names, or an empty pool, or nobody knows (both unset). */
  public record ScaledOut(List<String> names, boolean noCapacity) {}

  /** Machines in one page of the list, a batch; a limit of the protocol. */
  private static final int MOST_IN_PAGE = 500;

  private final Loop loop;
  private final Transport transport;
  private final String address;
  private final TokenBucket tokens;
  private final Map<String, Long> outcomes = new HashMap<>();

  public CloudClient(Loop loop, Transport transport, String address, double rps) {
    this.loop = loop;
    this.transport = transport;
    this.address = address;
    // Bursts of two seconds' worth are allowed; the other nodes only read the types now and then.
    this.tokens = new TokenBucket(loop, rps * 0.8, rps);
  }

  public Map<String, Long> outcomes() {
    return outcomes;
  }

  public TokenBucket tokens() {
    return tokens;
  }

  public void types(Consumer<List<MachineType>> done) {
    call(
        Use.READ,
        "GET",
        "/machine_types",
        null,
        r ->
            done.accept(
                r.body() == null || !r.ok() ? null : CloudCodec.decodeMachineTypes(r.body())));
  }

  /** Seconds that should lie between lists, so that most calls are left for other uses. */
  public double listEveryS(int machines) {
    double pages = 1 + machines / (double) MOST_IN_PAGE;
    return Math.max(LIST_EVERY_S, pages / (tokens.rate() * LIST_SHARE));
  }

  /** The whole list of machines, or null. */
  public void list(Consumer<List<ListedMachine>> done) {
    page("", new ArrayList<>(), done);
  }

  private void page(String after, List<ListedMachine> got, Consumer<List<ListedMachine>> done) {
    call(
        Use.READ,
        "GET",
        "/machines?after=" + after + "&most=" + MOST_IN_PAGE,
        null,
        r -> {
          if (!r.ok() || r.body() == null) {
            done.accept(null);
            return;
          }
          List<ListedMachine> page = CloudCodec.decodeMachines(r.body());
          got.addAll(page);
          if (CloudCodec.decodeTruncated(r.body()) && !page.isEmpty()) {
            page(page.get(page.size() - 1).name(), got, done);
          } else {
            done.accept(got);
          }
        });
  }

  /**
   * Rents machines under a name that is used for this one request for ever. A request without an
   * answer is repeated under the same name, so that it rents once.
   */
  public void scaleOut(
      String name, String type, String zone, boolean spot, int count, Consumer<ScaledOut> done) {
    scaleOutAgain(3, name, type, zone, spot, count, done);
  }

  private void scaleOutAgain(
      int tries,
      String name,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<ScaledOut> done) {
    call(
        Use.CLAIM,
        "POST",
        "/machines",
        CloudCodec.encodeScaleOut(name, type, zone, spot, count),
        r -> {
          if (r.ok() && r.body() != null) {
            done.accept(new ScaledOut(CloudCodec.decodeMachineNames(r.body()), false));
          } else if (r.status() == 503 && CloudCodec.decodeNoCapacity(r.body())) {
            done.accept(new ScaledOut(null, true));
          } else if (tries > 1) {
            loop.after(
                TYPES_RETRY_S, () -> scaleOutAgain(tries - 1, name, type, zone, spot, count, done));
          } else {
            done.accept(new ScaledOut(null, false));
          }
        });
  }

  /** Deletes machines; true once the cloud has said that they are gone. */
  public void scaleIn(List<String> names, Consumer<Boolean> done) {
    call(
        Use.CLAIM,
        "POST",
        "/machines/delete",
        CloudCodec.encodeMachineNames(names),
        r -> done.accept(r.ok()));
  }

  private record Answer(int status, JsonNode body) {
    boolean ok() {
      return status == 200;
    }
  }

  private void call(Use use, String method, String path, JsonNode body, Consumer<Answer> done) {
    tokens.take(
        use,
        1,
        ok -> {
          if (!ok) {
            done.accept(new Answer(0, null));
            return;
          }
          transport.call(
              address,
              method,
              path,
              body == null ? null : Json.write(body),
              CLOUD_TIMEOUT_S,
              r -> done.accept(answer(path, r)));
        });
  }

  private Answer answer(String path, Reply r) {
    if (r.status() == 429) {
      tokens.penalty();
    }
    outcomes.merge(
        path.split("\\?", 2)[0] + " " + (r.status() == 0 ? "none" : r.status()), 1L, Long::sum);
    return new Answer(r.status(), r.status() == 0 ? null : Json.read(r.body()));
  }
}
