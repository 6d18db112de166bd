package rosecleat.config;

import java.util.List;
import java.util.stream.Collectors;

/** Reason why a configuration is invalid, with the file, line and key at fault. */
public sealed interface ConfigError {

  /** Returns the error as a single human-readable line. */
  String message();

  /**
   * A file that does not exist, cannot be read or cannot be parsed.
   *
   * @param document what the file is to the program
   * @param file the path, as it was given
   */
  record UnreadableFile(String document, String file) implements ConfigError {
    @Override
    public String message() {
      return "cannot read " + document + " " + file;
    }
  }

  /**
   * A file that could be parsed but contains errors.
   *
   * @param document what the file is to the program
   * @param file the path, as it was given
   * @param errors all errors found: violations of the schema by line, then other errors
   */
  record InvalidFile(String document, String file, List<ConfigError> errors)
      implements ConfigError {
    @Override
    public String message() {
      return errors.stream()
          .map(ConfigError::message)
          .collect(Collectors.joining("; ", document + " " + file + ": ", ""));
    }
  }

  /**
   * A key or value that violates the schema of its file.
   *
   * @param line the line number, starting at 1
   * @param pointer the JSON pointer to the key or value at fault
   * @param explanation the fault, with a suggested key if an unknown key resembles a known one
   */
  record SchemaViolation(int line, String pointer, String explanation) implements ConfigError {
    @Override
    public String message() {
      return "line " + line + ": " + explanation;
    }
  }

  /**
   * A missing or invalid key, value or section.
   *
   * @param subject the key, operation, service, budget or document at fault
   * @param fault the fault, which completes the sentence that the subject starts
   */
  record InvalidEntry(String subject, String fault) implements ConfigError {
    @Override
    public String message() {
      return subject + " " + fault;
    }
  }

  /**
   * An OpenAPI or AsyncAPI description that is invalid or lacks required parts.
   *
   * @param file the path of the description
   * @param message the fault, including the path
   */
  record InvalidDescription(String file, String message) implements ConfigError {}

  /**
   * A changed setting that a running process cannot adopt; the whole reload is rejected, and the
   * change needs a restart.
   *
   * @param message the settings that require a restart
   */
  record RestartRequired(String message) implements ConfigError {}
}
