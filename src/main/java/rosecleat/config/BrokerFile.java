package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;

/** Reads the text of broker files, and their values. */
final class BrokerFile {
  /** The name of a node whose file gives none. */
  static final String DEFAULT_NAME = "broker";

  private static final String DOCUMENT = "the broker's file";

  private BrokerFile() {}

  /**
   * Reads a file that holds to the schema.
   *
   * @throws ConfigException where it cannot be read, or with all violations of the schema
   */
  static JsonNode read(Path path) {
    YamlFile file = YamlFile.read(DOCUMENT, path, ConfigSchema.BROKER);
    file.requireValid(List.of());
    return file.root();
  }

  /** An exception for what the file as a whole lacks. */
  static ConfigException invalid(String fault) {
    return ConfigException.invalid(DOCUMENT, fault);
  }

  /** A whole number above 0; the default where the section does not have the key. */
  static int positiveInt(JsonNode section, String key, int defaultValue) {
    long value = section.path(key).asLong(defaultValue);
    if (value <= 0 || value > Integer.MAX_VALUE) {
      throw ConfigException.invalid(key, "in the broker's file is out of range");
    }
    return (int) value;
  }

  /** A time given in milliseconds, in microseconds. */
  static long microseconds(JsonNode section, String keyInMs, int defaultMs) {
    return Units.MICROSECONDS_PER_MS * positiveInt(section, keyInMs, defaultMs);
  }
}
