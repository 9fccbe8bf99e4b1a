package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Map;

/** JSON over the JDK's HTTP server. */
final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  static JsonNode read(byte[] bytes) {
    try {
      return bytes.length == 0 ? object() : MAPPER.readTree(bytes);
    } catch (IOException e) {
      return null;
    }
  }

  static byte[] write(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static JsonNode body(HttpExchange exchange) throws IOException {
    try (InputStream in = exchange.getRequestBody()) {
      return read(in.readAllBytes());
    }
  }

  static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = write(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> parameters = new HashMap<>();
    String query = exchange.getRequestURI().getQuery();
    if (query != null) {
      for (String pair : query.split("&")) {
        int equals = pair.indexOf('=');
        parameters.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return parameters;
  }
}
