package rosecleat.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The schema of the broker's file, and what in a file does not hold to it: each finding with its
 * line and its mend.
 */
public final class BrokerSchema {
  private static final String RESOURCE = "/rosecleat/broker.schema.json";

  /** A known key this many edits away is taken for what was meant. */
  private static final int NEAR = 3;

  private static final ObjectMapper JSON = new ObjectMapper();

  private BrokerSchema() {}

  /** The schema's text (JSON Schema 2020-12). */
  public static String text() {
    try (InputStream in = BrokerSchema.class.getResourceAsStream(RESOURCE)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException(e); // it is in the jar
    }
  }

  /** All findings in a file's text, in order of their lines; empty where it holds to the schema. */
  static List<String> findings(JsonNode root, String yaml) throws IOException {
    return findings(root, yaml, text());
  }

  /** The same of another schema. */
  static List<String> findings(JsonNode root, String yaml, String schemaText) throws IOException {
    JsonNode schema = JSON.readTree(schemaText);
    JsonSchema compiled =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
            .getSchema(
                schema, SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build());
    Map<String, Integer> lines = lines(yaml);
    Map<Integer, List<String>> byLine =
        compiled.validate(root).stream()
            .collect(
                Collectors.groupingBy(
                    m -> line(m, lines),
                    TreeMap::new,
                    Collectors.mapping(m -> finding(m, schema, lines), Collectors.toList())));
    return byLine.values().stream().flatMap(List::stream).toList();
  }

  private static int line(ValidationMessage message, Map<String, Integer> lines) {
    String at = message.getInstanceLocation().toString();
    return unknown(message)
        ? lines.getOrDefault(child(at, message.getProperty()), 1)
        : lines.getOrDefault(at, 1);
  }

  private static boolean unknown(ValidationMessage message) {
    return message.getType().equals("additionalProperties");
  }

  private static String child(String pointer, String key) {
    return pointer + "/" + key.replace("~", "~0").replace("/", "~1");
  }

  private static String finding(
      ValidationMessage message, JsonNode schema, Map<String, Integer> lines) {
    String at = message.getInstanceLocation().toString();
    String where = "line " + line(message, lines) + ": ";
    if (!unknown(message)) {
      String text = message.getMessage();
      return where
          + (text.startsWith(at + ":")
              ? (at.isEmpty() ? "the file" : at) + text.substring(at.length() + 1)
              : text);
    }
    JsonNode known = schema;
    String[] steps = message.getSchemaLocation().getFragment().toString().split("/");
    for (int i = 1; i < steps.length - 1; i++) {
      known = known.isArray() ? known.path(Integer.parseInt(steps[i])) : known.path(steps[i]);
    }
    String near = nearest(message.getProperty(), known.path("properties").fieldNames());
    return where
        + (at.isEmpty() ? "" : at + " ")
        + "has no key "
        + message.getProperty()
        + (near == null ? "" : "; did you mean " + near + "?");
  }

  private static String nearest(String key, Iterator<String> known) {
    String best = null;
    int least = NEAR + 1;
    while (known.hasNext()) {
      String each = known.next();
      int edits = edits(key, each);
      if (edits < least && edits < each.length()) {
        least = edits;
        best = each;
      }
    }
    return best;
  }

  /** The edits between two words (Levenshtein's distance, by Wagner and Fischer). */
  private static int edits(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int corner = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int above = row[j];
        row[j] =
            Math.min(
                Math.min(row[j] + 1, row[j - 1] + 1),
                corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1));
        corner = above;
      }
    }
    return row[b.length()];
  }

  /** The line of each value and key, by JSON pointer. */
  private static Map<String, Integer> lines(String yaml) throws IOException {
    Map<String, Integer> lines = new HashMap<>();
    try (JsonParser parser = new YAMLFactory().createParser(yaml)) {
      for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
        lines.putIfAbsent(
            parser.getParsingContext().pathAsPointer().toString(),
            parser.currentTokenLocation().getLineNr());
      }
    }
    return lines;
  }
}
