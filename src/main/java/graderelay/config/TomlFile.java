package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;

/** Reads TOML files as trees. */
final class TomlFile {
  private TomlFile() {}

  /** The tree of a file; the error's message is one line. */
  static JsonNode read(String file) throws Settings.Wrong {
    try {
      return new TomlMapper().readTree(new File(file));
    } catch (IOException e) {
      String firstLine = String.valueOf(e.getMessage()).split("\n", 2)[0];
      throw new Settings.Wrong("the file can't be read as TOML: " + firstLine);
    }
  }
}
