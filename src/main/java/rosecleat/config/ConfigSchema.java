package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The JSON Schemas of the YAML files, which are packaged as resources in the jar. */
public enum ConfigSchema {
  /** The broker file. */
  BROKER("/rosecleat/broker.schema.json"),

  /** The routes file. */
  ROUTES("/rosecleat/routes.schema.json");

  private final String resource;

  ConfigSchema(String resource) {
    this.resource = resource;
  }

  /** Returns the text of the schema (JSON Schema 2020-12). */
  public String text() {
    try (InputStream in = ConfigSchema.class.getResourceAsStream(resource)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException(e); // cannot happen: the resource is in the jar
    }
  }

  /**
   * Validates a file against the schema.
   *
   * @param root the parsed content of the file
   * @param yaml the text of the file, used to find line numbers
   * @return all violations, ordered by line; empty if the file is valid
   * @throws IOException if the text is not valid YAML
   */
  List<ConfigError> validate(JsonNode root, String yaml) throws IOException {
    return SchemaValidator.validate(root, yaml, text());
  }
}
