package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.wire.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import picocli.CommandLine.Option;

/**
 * What the operators' tools share: where the server is, how to ask it, and what its answer means.
 */
abstract class Tool implements Callable<Integer> {
  private static final int ABSENT = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  @Option(
      names = "--server",
      paramLabel = "HOST:PORT",
      defaultValue = "127.0.0.1:8080",
      description = "a controller's address (default: ${DEFAULT-VALUE})")
  private String server;

  @Option(
      names = "--timeout",
      paramLabel = "SECONDS",
      defaultValue = "5",
      description = "how long to wait for an answer (default: ${DEFAULT-VALUE})")
  private double timeoutS;

  @Option(names = "--json", description = "print the server's answer as it is")
  private boolean json;

  /**
   * Asks for all pages of a list, shows them as one and returns the exit code.
   *
   * @param list the field of the answer that holds the list
   * @param name the field of an entry that the next page begins after
   */
  final int pages(String path, String list, String name) {
    String separator = path.contains("?") ? "&" : "?";
    ObjectNode whole = null;
    String after = "";
    while (true) {
      AtomicReference<JsonNode> page = new AtomicReference<>();
      int code = ask("GET", path + separator + "after=" + after, null, page::set);
      if (code != 0) {
        return code;
      }
      JsonNode rows = page.get().path(list);
      if (whole == null) {
        whole = page.get().deepCopy();
      } else {
        rows.forEach(whole.withArray("/" + list)::add);
      }
      if (!page.get().path("truncated").asBoolean() || rows.isEmpty()) {
        whole.remove("truncated");
        print(whole);
        return 0;
      }
      after = rows.get(rows.size() - 1).path(name).asText();
    }
  }

  /** Asks the server, prints the answer and returns the exit code. */
  final int ask(String method, String path, JsonNode body) {
    return ask(method, path, body, this::print);
  }

  private int ask(String method, String path, JsonNode body, Consumer<JsonNode> then) {
    return ask(method, path, body, then, null);
  }

  /** The same; {@code ifAbsent}, if it is not null, takes the place of the answer 404. */
  private int ask(
      String method, String path, JsonNode body, Consumer<JsonNode> then, IntSupplier ifAbsent) {
    HttpResponse<byte[]> response;
    try {
      response = send(method, path, body);
    } catch (IllegalArgumentException e) {
      System.err.println("graderelay: --server must be an address like 127.0.0.1:8080");
      return Main.USAGE;
    } catch (IOException e) {
      String why = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
      System.err.println("graderelay: " + server + " can't be reached: " + why);
      return Main.UNREACHABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Main.FAILED;
    }
    JsonNode answer = Json.read(response.body());
    int status = response.statusCode();
    if (status >= 200 && status < 300 && answer != null) {
      then.accept(answer);
      return 0;
    }
    if (status == ABSENT && ifAbsent != null) {
      return ifAbsent.getAsInt();
    }
    return explain(status, answer == null ? "" : answer.path("error").asText());
  }

  /** Reads the first path, or the second if there is nothing under the first. */
  final int askEither(String path, String otherwise) {
    return ask("GET", path, null, this::print, () -> ask("GET", otherwise, null));
  }

  private void print(JsonNode answer) {
    if (json) {
      System.out.println(answer.toPrettyString());
    } else {
      show(answer);
    }
  }

  private HttpResponse<byte[]> send(String method, String path, JsonNode body)
      throws IOException, InterruptedException {
    Duration timeout = Duration.ofMillis((long) (timeoutS * 1000));
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + server + path))
            .timeout(timeout)
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(Json.write(body)))
            .build();
    HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
  }

  /** Tells why there is no answer, and returns the exit code. */
  private static int explain(int status, String error) {
    if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS || status == GATEWAY_TIMEOUT) {
      System.err.println("graderelay: not now (" + status + "): " + error);
      return Main.UNAVAILABLE;
    }
    System.err.println("graderelay: refused (" + status + "): " + error);
    return Main.REFUSED;
  }

  /** Prints an answer for people. */
  abstract void show(JsonNode answer);
}
