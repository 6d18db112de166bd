package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The JSON Schemas of the YAML files, which are resources of the program. */
public enum ConfigSchema {
  /** The broker file. */
  BROKER("/rosecleat/broker.schema.json"),

  /** The routes file. */
  ROUTES("/rosecleat/routes.schema.json");

  private final String resource;

  ConfigSchema(String resource) {
    this.resource = resource;
  }

  /** The schema's text (JSON Schema 2020-12). */
  public String text() {
    try (InputStream in = ConfigSchema.class.getResourceAsStream(resource)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException(e); // the resource is in the jar
    }
  }

  /**
   * Validates a file against the schema.
   *
   * @param root the file's content
   * @param yaml the file's text, from which the lines are taken
   * @return all violations in order of their lines; empty where the file is valid
   * @throws IOException where the text is not YAML
   */
  List<ConfigError> validate(JsonNode root, String yaml) throws IOException {
    return SchemaValidator.validate(root, yaml, text());
  }
}
