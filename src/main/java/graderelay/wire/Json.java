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
 * JSON with the outside, CBOR between controllers. Trees and not bound classes: binding costs
 * start-up time that a third of a core feels at each restart.
 */
public final class Json {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper CBOR = new CBORMapper();

  /** Wire name of the text that says what went wrong. */
  private static final String ERROR = "error";

  private Json() {}

  /** A new, empty JSON object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** A new, empty JSON list. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** The tree, or null if these bytes are not one JSON value. */
  public static JsonNode read(byte[] bytes) {
    try (var parser = JSON.getFactory().createParser(bytes)) {
      JsonNode n = JSON.readTree(parser);
      return n == null || n.isMissingNode() || parser.nextToken() != null ? null : n;
    } catch (IOException e) {
      return null;
    }
  }

  /** The JSON text of a tree, as UTF-8. */
  public static byte[] write(JsonNode n) {
    try {
      return JSON.writeValueAsBytes(n);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The tree, or null if these bytes are not CBOR. */
  public static JsonNode readCbor(byte[] bytes) {
    try {
      JsonNode n = CBOR.readTree(bytes);
      return n == null || n.isMissingNode() ? null : n;
    } catch (IOException e) {
      return null;
    }
  }

  /** The CBOR bytes of a tree. */
  public static byte[] writeCbor(JsonNode n) {
    try {
      return CBOR.writeValueAsBytes(n);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The body of an answer that says what went wrong. */
  public static byte[] errorBody(String message) {
    return write(object().put(ERROR, message));
  }
}
