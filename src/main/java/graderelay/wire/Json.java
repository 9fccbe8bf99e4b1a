package graderelay.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/**
 * Reads and writes JSON, which external clients and services use, and CBOR, which controllers use
 * among themselves. Both are processed as trees: data binding to classes would lengthen each start
 * noticeably on the third of a CPU core that a controller has.
 */
public final class Json {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper CBOR = new CBORMapper();

  /** Wire name of the error message. */
  private static final String ERROR = "error";

  private Json() {}

  /** Returns a new, empty JSON object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns a new, empty JSON array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Parses a JSON value; returns null if the bytes are not exactly one JSON value. */
  public static JsonNode read(byte[] bytes) {
    try (var parser = JSON.getFactory().createParser(bytes)) {
      JsonNode n = JSON.readTree(parser);
      return n == null || n.isMissingNode() || parser.nextToken() != null ? null : n;
    } catch (IOException e) {
      return null;
    }
  }

  /** Serializes a tree as JSON text in UTF-8. */
  public static byte[] write(JsonNode n) {
    try {
      return JSON.writeValueAsBytes(n);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Parses a CBOR value; returns null if the bytes are not valid CBOR. */
  public static JsonNode readCbor(byte[] bytes) {
    try {
      JsonNode n = CBOR.readTree(bytes);
      return n == null || n.isMissingNode() ? null : n;
    } catch (IOException e) {
      return null;
    }
  }

  /** Serializes a tree as CBOR. */
  public static byte[] writeCbor(JsonNode n) {
    try {
      return CBOR.writeValueAsBytes(n);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the JSON body of an error response. */
  public static byte[] errorBody(String message) {
    return write(object().put(ERROR, message));
  }
}
