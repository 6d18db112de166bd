package rosecleat.config;

/**
 * Thrown if a configuration is invalid. The message is a single line. The program prints it before
 * it exits; a running process logs it and continues with the configuration in force.
 */
public final class ConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient ConfigError error;

  /** Creates an exception without a stack trace, since the fault is in a file and not in code. */
  public ConfigException(ConfigError error) {
    super(error.message(), null, false, false);
    this.error = error;
  }

  /** Creates an exception for a missing or invalid key, value or section. */
  public static ConfigException invalid(String subject, String fault) {
    return new ConfigException(new ConfigError.InvalidEntry(subject, fault));
  }

  /** Creates an exception for changed settings that require a restart; the message lists them. */
  public static ConfigException restartRequired(String message) {
    return new ConfigException(new ConfigError.RestartRequired(message));
  }

  /** Returns the error, with the file, line and key at fault as far as they are known. */
  public ConfigError error() {
    return error;
  }
}
