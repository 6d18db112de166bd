package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;

/** Reads broker files and the values in them. */
final class BrokerFile {
  /** Name of a node whose broker file does not set one. */
  static final String DEFAULT_NAME = "broker";

  private static final String DOCUMENT = "broker file";

  private BrokerFile() {}

  /**
   * Reads a broker file and validates it against the schema.
   *
   * @throws ConfigException if the file cannot be read or violates the schema; the error lists all
   *     violations
   */
  static JsonNode read(Path path) {
    YamlFile file = YamlFile.read(DOCUMENT, path, ConfigSchema.BROKER);
    file.requireValid(List.of());
    return file.root();
  }

  /** Creates an exception for a fault of the file as a whole, such as a missing key. */
  static ConfigException invalid(String fault) {
    return ConfigException.invalid(DOCUMENT, fault);
  }

  /** Returns a positive integer, or the default if the section does not contain the key. */
  static int positiveInt(JsonNode section, String key, int defaultValue) {
    long value = section.path(key).asLong(defaultValue);
    if (value <= 0 || value > Integer.MAX_VALUE) {
      throw ConfigException.invalid(
          key, "in the broker file must be from 1 to " + Integer.MAX_VALUE + ", got " + value);
    }
    return (int) value;
  }

  /** Converts a positive time in milliseconds to microseconds. */
  static long microseconds(JsonNode section, String keyInMs, int defaultMs) {
    return Units.MICROSECONDS_PER_MS * positiveInt(section, keyInMs, defaultMs);
  }
}
