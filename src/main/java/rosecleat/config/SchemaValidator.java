package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import rosecleat.config.ConfigError.SchemaViolation;

/**
 * Validates a YAML file against a JSON Schema. Each violation has its line number and, for an
 * unknown key, a suggestion of the known key that was probably meant.
 */
final class SchemaValidator {
  /** Schema keyword that is reported for an unknown key. */
  private static final String UNKNOWN_KEY = "additionalProperties";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final JsonNode schema;
  private final YamlLines lines;

  private SchemaValidator(JsonNode schema, YamlLines lines) {
    this.schema = schema;
    this.lines = lines;
  }

  /** Returns all violations in a file, ordered by line; see {@link ConfigSchema#validate}. */
  static List<ConfigError> validate(JsonNode root, String yaml, String schemaText)
      throws IOException {
    JsonNode schema = JSON.readTree(schemaText);
    SchemaValidator validator = new SchemaValidator(schema, YamlLines.of(yaml));
    return compile(schema).validate(root).stream()
        .map(validator::violation)
        .sorted(Comparator.comparingInt(SchemaViolation::line))
        .map(ConfigError.class::cast)
        .toList();
  }

  private static JsonSchema compile(JsonNode schema) {
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
    return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schema, config);
  }

  private SchemaViolation violation(ValidationMessage message) {
    String pointer = message.getInstanceLocation().toString();
    if (message.getType().equals(UNKNOWN_KEY)) {
      String keyPointer = YamlLines.child(pointer, message.getProperty());
      return new SchemaViolation(
          lines.lineOf(keyPointer), keyPointer, unknownKey(pointer, message));
    }
    return new SchemaViolation(
        lines.lineOf(pointer), pointer, explanation(pointer, message.getMessage()));
  }

  /**
   * Removes the colon after the pointer at the start of the library's message, and puts "the file"
   * in place of the empty pointer of the root.
   */
  private static String explanation(String pointer, String message) {
    if (!message.startsWith(pointer + ":")) {
      return message;
    }
    String subject = pointer.isEmpty() ? "the file" : pointer;
    return subject + message.substring(pointer.length() + 1);
  }

  private String unknownKey(String pointer, ValidationMessage message) {
    String key = message.getProperty();
    Optional<String> suggestion =
        SpellingSuggestion.nearest(key, knownKeys(message.getSchemaLocation().getFragment()));
    return (pointer.isEmpty() ? "the file" : pointer)
        + " has the unknown key "
        + key
        + suggestion.map(known -> "; did you mean " + known + "?").orElse("");
  }

  /** Returns the keys that the schema defines next to the keyword at a schema location. */
  private Iterable<String> knownKeys(Object schemaLocation) {
    String[] steps = schemaLocation.toString().split("/");
    JsonNode object = schema;
    for (int i = 1; i < steps.length - 1; i++) {
      object = object.isArray() ? object.path(Integer.parseInt(steps[i])) : object.path(steps[i]);
    }
    JsonNode properties = object.path("properties");
    return properties::fieldNames;
  }
}
