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
 * Records and messages that the version in production wrote, see {@code
 * src/test/resources/production/README.md}.
 */
public final class ProductionFormats {
  private ProductionFormats() {}

  /** Returns the stored values by key, with their original bytes. */
  public static Map<String, byte[]> records() {
    Map<String, byte[]> records = new LinkedHashMap<>();
    lines("records.txt")
        .forEach((key, json) -> records.put(key, json.getBytes(StandardCharsets.UTF_8)));
    return records;
  }

  /** Returns one stored value. */
  public static JsonNode record(String key) {
    return Json.read(records().get(key));
  }

  /**
   * Returns the messages between controllers and their responses by name, with their original
   * bytes.
   */
  public static Map<String, byte[]> messages() {
    Map<String, byte[]> messages = new LinkedHashMap<>();
    lines("messages.txt").forEach((name, hex) -> messages.put(name, HexFormat.of().parseHex(hex)));
    return messages;
  }

  /** Returns one message or response. */
  public static JsonNode message(String name) {
    return Json.readCbor(messages().get(name));
  }

  /** Returns the lines of a file as a map, split at the last space of each line. */
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
