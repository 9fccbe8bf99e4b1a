package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;

/** Reads TOML files. */
final class TomlFile {
  private TomlFile() {}

  /** Returns the tree of a file; the message of the exception is a single line. */
  static JsonNode read(String file) throws Settings.InvalidSettingsException {
    try {
      return new TomlMapper().readTree(new File(file));
    } catch (IOException e) {
      String firstLine = String.valueOf(e.getMessage()).split("\n", 2)[0];
      throw new Settings.InvalidSettingsException("the file can't be read as TOML: " + firstLine);
    }
  }
}
