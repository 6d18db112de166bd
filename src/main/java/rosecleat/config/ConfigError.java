package rosecleat.config;

import java.util.List;
import java.util.stream.Collectors;

/** Why a configuration cannot be used: which file, line and key are at fault, and how. */
public sealed interface ConfigError {

  /** The error as one line for people. */
  String message();

  /**
   * A file that does not exist, cannot be read or is not in its format.
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
   * A readable file with errors in it.
   *
   * @param document what the file is to the program
   * @param file the path, as it was given
   * @param errors all errors found, in the order of the file
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
   * A place in a file that does not hold to the file's schema.
   *
   * @param line the line, from 1
   * @param pointer the key or value at fault, as a JSON pointer
   * @param explanation the fault, and where it can be guessed the key that was meant
   */
  record SchemaViolation(int line, String pointer, String explanation) implements ConfigError {
    @Override
    public String message() {
      return "line " + line + ": " + explanation;
    }
  }

  /**
   * A key, a value or a section that is missing or wrong.
   *
   * @param subject the key, or the operation, service, budget or document
   * @param fault what is wrong with it
   */
  record InvalidEntry(String subject, String fault) implements ConfigError {
    @Override
    public String message() {
      return subject + " " + fault;
    }
  }

  /**
   * An OpenAPI or AsyncAPI description without the parts that the program needs.
   *
   * @param file the path of the description
   * @param message the fault and the path
   */
  record InvalidDescription(String file, String message) implements ConfigError {}

  /**
   * A changed setting that a running process cannot adopt.
   *
   * @param message which settings need a restart
   */
  record RestartRequired(String message) implements ConfigError {}
}
