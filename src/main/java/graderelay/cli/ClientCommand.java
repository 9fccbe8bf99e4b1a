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
 * Base class of the commands that send requests to a controller: the server's address, the
 * requests, and the exit codes for the responses.
 */
abstract class ClientCommand implements Callable<Integer> {
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
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
      description = "timeout for the response (default: ${DEFAULT-VALUE})")
  private double timeoutS;

  @Option(names = "--json", description = "print the response of the server as JSON")
  private boolean json;

  /**
   * Requests all pages of a list, prints them as one list and returns the exit code.
   *
   * @param list the field of the response that holds the list
   * @param name the field of an entry that serves as the cursor for the next page
   */
  final int requestAllPages(String path, String listField, String nameField) {
    String separator = path.contains("?") ? "&" : "?";
    ObjectNode merged = null;
    String after = "";
    while (true) {
      AtomicReference<JsonNode> page = new AtomicReference<>();
      int code = request("GET", path + separator + "after=" + after, null, page::set);
      if (code != 0) {
        return code;
      }
      JsonNode rows = page.get().path(listField);
      if (merged == null) {
        merged = page.get().deepCopy();
      } else {
        rows.forEach(merged.withArray("/" + listField)::add);
      }
      if (!page.get().path("truncated").asBoolean() || rows.isEmpty()) {
        merged.remove("truncated");
        print(merged);
        return 0;
      }
      after = rows.get(rows.size() - 1).path(nameField).asText();
    }
  }

  /** Sends a request, prints the response and returns the exit code. */
  final int request(String method, String path, JsonNode body) {
    return request(method, path, body, this::print);
  }

  private int request(String method, String path, JsonNode body, Consumer<JsonNode> onSuccess) {
    return request(method, path, body, onSuccess, null);
  }

  /** Sends a request; {@code onNotFound}, if not null, handles a response with status 404. */
  private int request(
      String method,
      String path,
      JsonNode body,
      Consumer<JsonNode> onSuccess,
      IntSupplier onNotFound) {
    HttpResponse<byte[]> httpResponse;
    try {
      httpResponse = send(method, path, body);
    } catch (IllegalArgumentException e) {
      System.err.println("graderelay: --server must be an address like 127.0.0.1:8080");
      return Main.USAGE_ERROR;
    } catch (IOException e) {
      String why = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
      System.err.println("graderelay: " + server + " can't be reached: " + why);
      return Main.UNREACHABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Main.FAILED;
    }
    JsonNode response = Json.read(httpResponse.body());
    int status = httpResponse.statusCode();
    if (status >= 200 && status < 300 && response != null) {
      onSuccess.accept(response);
      return 0;
    }
    if (status == NOT_FOUND && onNotFound != null) {
      return onNotFound.getAsInt();
    }
    return reportError(status, response == null ? "" : response.path("error").asText());
  }

  /**
   * Requests a path, or the fallback path if the first one is not found, and returns the exit code.
   */
  final int requestWithFallback(String path, String fallbackPath) {
    return request("GET", path, null, this::print, () -> request("GET", fallbackPath, null));
  }

  private void print(JsonNode response) {
    if (json) {
      System.out.println(response.toPrettyString());
    } else {
      printText(response);
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

  /** Prints the reason why a request failed and returns the exit code. */
  private static int reportError(int status, String error) {
    if (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS || status == GATEWAY_TIMEOUT) {
      System.err.println("graderelay: temporarily unavailable (" + status + "): " + error);
      return Main.UNAVAILABLE;
    }
    System.err.println("graderelay: refused (" + status + "): " + error);
    return Main.REFUSED;
  }

  /** Prints a response in a human-readable form. */
  abstract void printText(JsonNode response);
}
