package rosecleat.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the text of API descriptions and creates the errors about their content. */
final class DescriptionFile {
  private DescriptionFile() {}

  static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new ConfigException(new ConfigError.UnreadableFile("API description", file.toString()));
    }
  }

  static ConfigException invalid(Path file, String message) {
    return new ConfigException(new ConfigError.InvalidDescription(file.toString(), message));
  }
}
