package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints parts of a response on standard output in a human-readable form. */
final class TextOutput {
  /** Width of the column of field names, in characters. */
  private static final int FIELD_NAME_WIDTH = 18;

  /** Number of spaces after each column. */
  private static final int COLUMN_GAP = 2;

  private TextOutput() {}

  /** Prints rows below a header, with each column as wide as its longest cell. */
  static void table(JsonNode rows, String... columns) {
    int[] widths = widths(rows, columns);
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < columns.length; i++) {
      line.append(pad(columns[i], widths[i]));
    }
    System.out.println(line.toString().stripTrailing());
    for (JsonNode row : rows) {
      line.setLength(0);
      for (int i = 0; i < columns.length; i++) {
        line.append(pad(cell(row, columns[i]), widths[i]));
      }
      System.out.println(line.toString().stripTrailing());
    }
  }

  private static int[] widths(JsonNode rows, String... columns) {
    int[] widths = new int[columns.length];
    for (int i = 0; i < columns.length; i++) {
      widths[i] = columns[i].length();
      for (JsonNode row : rows) {
        widths[i] = Math.max(widths[i], cell(row, columns[i]).length());
      }
    }
    return widths;
  }

  /** Prints the fields of an object, one per line. */
  static void fields(JsonNode object) {
    object
        .fields()
        .forEachRemaining(
            field -> {
              JsonNode value = field.getValue();
              System.out.println(
                  pad(field.getKey(), FIELD_NAME_WIDTH)
                      + (value.isTextual() ? value.asText() : value));
            });
  }

  private static String cell(JsonNode row, String column) {
    JsonNode value = row.path(column);
    if (value.isMissingNode() || value.isNull()) {
      return "-";
    }
    return value.isDouble() ? String.format("%.1f", value.doubleValue()) : value.asText();
  }

  private static String pad(String text, int width) {
    return text + " ".repeat(Math.max(0, width - text.length()) + COLUMN_GAP);
  }
}
