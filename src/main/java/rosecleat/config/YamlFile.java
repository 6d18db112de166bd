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
 * A YAML file as it was read.
 *
 * @param document what the file is to the program, for messages
 * @param path where it stands
 * @param root its content, an object
 * @param violations where it does not hold to its schema, in order of the lines
 */
record YamlFile(String document, Path path, JsonNode root, List<ConfigError> violations) {

  /**
   * Reads a file and validates it against a schema.
   *
   * @throws ConfigException where the file cannot be read, or is not an object; violations of the
   *     schema are left to {@link #requireValid}
   */
  static YamlFile read(String document, Path path, ConfigSchema schema) {
    try {
      String text = Files.readString(path);
      JsonNode root = new ObjectMapper(new YAMLFactory()).readTree(text);
      if (root == null || !root.isObject()) {
        throw ConfigException.invalid(document + " " + path, "has no sections");
      }
      return new YamlFile(document, path, root, schema.validate(root, text));
    } catch (IOException e) {
      throw new ConfigException(new ConfigError.UnreadableFile(document, path.toString()));
    }
  }

  /** Throws an exception that names all violations, and behind them the other errors. */
  void requireValid(List<ConfigError> otherErrors) {
    List<ConfigError> errors = new ArrayList<>(violations);
    errors.addAll(otherErrors);
    if (!errors.isEmpty()) {
      throw new ConfigException(new ConfigError.InvalidFile(document, path.toString(), errors));
    }
  }
}
