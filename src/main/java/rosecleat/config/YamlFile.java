package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A parsed YAML file with the violations of its schema.
 *
 * @param document the kind of file, for error messages
 * @param path the path of the file
 * @param root the content of the file, an object
 * @param violations all violations of the schema, ordered by line
 */
record YamlFile(String document, Path path, JsonNode root, List<ConfigError> violations) {

  /**
   * Reads a file and validates it against a schema.
   *
   * @throws ConfigException if the file cannot be read, cannot be parsed or is not an object;
   *     violations of the schema are reported by {@link #requireValid}
   */
  static YamlFile read(String document, Path path, ConfigSchema schema) {
    try {
      String text = Files.readString(path);
      JsonNode root = new ObjectMapper(new YAMLFactory()).readTree(text);
      if (root == null || !root.isObject()) {
        throw ConfigException.invalid(document + " " + path, "is empty or not a YAML mapping");
      }
      return new YamlFile(document, path, root, schema.validate(root, text));
    } catch (IOException e) {
      throw new ConfigException(new ConfigError.UnreadableFile(document, path.toString()));
    }
  }

  /**
   * Throws an exception if there is any error; the exception lists all violations of the schema,
   * followed by the other errors.
   */
  void requireValid(List<ConfigError> otherErrors) {
    List<ConfigError> errors = new ArrayList<>(violations);
    errors.addAll(otherErrors);
    if (!errors.isEmpty()) {
      throw new ConfigException(new ConfigError.InvalidFile(document, path.toString(), errors));
    }
  }
}
