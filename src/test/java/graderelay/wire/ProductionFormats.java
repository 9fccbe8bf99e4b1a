package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records and messages as the version in production wrote them, see {@code
 * src/test/resources/production/README.md}.
 */
public final class ProductionFormats {
  private ProductionFormats() {}

  /** Stored values by key, as the bytes that were stored. */
  public static Map<String, byte[]> records() {
    Map<String, byte[]> records = new LinkedHashMap<>();
    lines("records.txt")
        .forEach((key, json) -> records.put(key, json.getBytes(StandardCharsets.UTF_8)));
    return records;
  }

  /** One stored value. */
  public static JsonNode record(String key) {
    return Json.read(records().get(key));
  }

  /** Messages between controllers and their answers by name, as the bytes that were sent. */
  public static Map<String, byte[]> messages() {
    Map<String, byte[]> messages = new LinkedHashMap<>();
    lines("messages.txt").forEach((name, hex) -> messages.put(name, HexFormat.of().parseHex(hex)));
    return messages;
  }

  /** One message or answer. */
  public static JsonNode message(String name) {
    return Json.readCbor(messages().get(name));
  }

  /** What stands before the last space of each line, and what stands behind it. */
  private static Map<String, String> lines(String file) {
    try (InputStream in = ProductionFormats.class.getResourceAsStream("/production/" + file)) {
      Map<String, String> lines = new LinkedHashMap<>();
      for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
        int space = line.lastIndexOf(' ');
        lines.put(line.substring(0, space), line.substring(space + 1));
      }
      return lines;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
