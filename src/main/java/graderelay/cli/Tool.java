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
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import picocli.CommandLine.Option;

/**
 * What the operators' tools share: where the server is, how to ask it, and what its answer means.
 */
abstract class Tool implements Callable<Integer> {
  private static final int ABSENT = 404;

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

  /** Asks for all pages of a list, of which each entry has a name, and shows them as one. */
  final int pages(String path, String list, String name) {
    ObjectNode whole = null;
    String after = "";
    while (true) {
      JsonNode[] got = {null};
      String sep = path.contains("?") ? "&" : "?";
      int code = ask("GET", path + sep + "after=" + after, null, a -> got[0] = a);
      if (code != 0) {
        return code;
      }
      JsonNode rows = got[0].path(list);
      if (whole == null) {
        whole = got[0].deepCopy();
      } else {
        rows.forEach(whole.withArray("/" + list)::add);
      }
      if (!got[0].path("truncated").asBoolean() || rows.isEmpty()) {
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

  private int ask(String method, String path, JsonNode body, Consumer<JsonNode> then) {
    return ask(method, path, body, then, null);
  }

  /** The same; {@code ifAbsent}, if it is not null, takes the place of the answer 404. */
  private int ask(
      String method, String path, JsonNode body, Consumer<JsonNode> then, IntSupplier ifAbsent) {
    HttpResponse<byte[]> r;
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + server + path))
              .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofByteArray(Json.write(body)))
              .build();
      HttpClient client =
          HttpClient.newBuilder()
              .version(HttpClient.Version.HTTP_1_1)
              .connectTimeout(Duration.ofMillis((long) (timeoutS * 1000)))
              .build();
      r = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
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
    JsonNode answer = Json.read(r.body());
    int status = r.statusCode();
    if (status >= 200 && status < 300 && answer != null) {
      then.accept(answer);
      return 0;
    }
    if (status == ABSENT && ifAbsent != null) {
      return ifAbsent.getAsInt();
    }
    String error = answer == null ? "" : answer.path("error").asText();
    if (status == 503 || status == 429 || status == 504) {
      System.err.println("graderelay: not now (" + status + "): " + error);
      return Main.UNAVAILABLE;
    }
    System.err.println("graderelay: refused (" + status + "): " + error);
    return Main.REFUSED;
  }

  /** Prints an answer for people. */
  abstract void show(JsonNode answer);

  /** Prints rows under a header, each column as wide as it needs. */
  static void table(JsonNode rows, String... columns) {
    int[] width = new int[columns.length];
    for (int i = 0; i < columns.length; i++) {
      width[i] = columns[i].length();
      for (JsonNode r : rows) {
        width[i] = Math.max(width[i], cell(r, columns[i]).length());
      }
    }
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < columns.length; i++) {
      line.append(pad(columns[i], width[i]));
    }
    System.out.println(line.toString().stripTrailing());
    for (JsonNode r : rows) {
      line.setLength(0);
      for (int i = 0; i < columns.length; i++) {
        line.append(pad(cell(r, columns[i]), width[i]));
      }
      System.out.println(line.toString().stripTrailing());
    }
  }

  /** Prints an object's fields, one a line. */
  static void fields(JsonNode n) {
    n.fields()
        .forEachRemaining(
            f ->
                System.out.println(
                    pad(f.getKey(), 18)
                        + (f.getValue().isTextual() ? f.getValue().asText() : f.getValue())));
  }

  private static String cell(JsonNode r, String column) {
    JsonNode v = r.path(column);
    if (v.isMissingNode() || v.isNull()) {
      return "-";
    }
    return v.isDouble() ? String.format("%.1f", v.doubleValue()) : v.asText();
  }

  private static String pad(String s, int width) {
    return s + " ".repeat(Math.max(0, width - s.length()) + 2);
  }
}
