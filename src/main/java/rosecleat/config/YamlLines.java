package rosecleat.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Maps the JSON pointer of each key and value in a YAML text to its line number. */
final class YamlLines {
  private static final int FIRST_LINE = 1;

  private final Map<String, Integer> lineByPointer = new HashMap<>();

  private YamlLines() {}

  /** Parses a text and records the line numbers. */
  static YamlLines of(String yaml) throws IOException {
    YamlLines lines = new YamlLines();
    try (JsonParser parser = new YAMLFactory().createParser(yaml)) {
      for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
        lines.lineByPointer.putIfAbsent(
            parser.getParsingContext().pathAsPointer().toString(),
            parser.currentTokenLocation().getLineNr());
      }
    }
    return lines;
  }

  /** Returns the line number of a key or value, starting at 1; 1 for an unknown pointer. */
  int lineOf(String pointer) {
    return lineByPointer.getOrDefault(pointer, FIRST_LINE);
  }

  /** Returns the pointer to a key of the object at a pointer. */
  static String child(String pointer, String key) {
    return pointer + "/" + key.replace("~", "~0").replace("/", "~1");
  }
}
