package rosecleat.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** The line of each key and value of a YAML text, by JSON pointer. */
final class YamlLines {
  private static final int FIRST_LINE = 1;

  private final Map<String, Integer> lineByPointer = new HashMap<>();

  private YamlLines() {}

  /** Finds the lines of a text. */
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

  /** The line of a key or value, from 1; 1 for a pointer that is not in the text. */
  int lineOf(String pointer) {
    return lineByPointer.getOrDefault(pointer, FIRST_LINE);
  }

  /** The pointer to a key of the object at a pointer. */
  static String child(String pointer, String key) {
    return pointer + "/" + key.replace("~", "~0").replace("/", "~1");
  }
}
