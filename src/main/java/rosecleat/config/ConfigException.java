package rosecleat.config;

/**
 * A configuration cannot be used. The message is the one line with which the process ends, or that
 * a running process logs before it goes on with the configuration in force.
 */
public final class ConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient ConfigError error;

  /** Creates an exception for an error; it has no stack trace, as it names a file's fault. */
  public ConfigException(ConfigError error) {
    super(error.message(), null, false, false);
    this.error = error;
  }

  /** An exception for a key, value or section that is missing or wrong. */
  public static ConfigException invalid(String subject, String fault) {
    return new ConfigException(new ConfigError.InvalidEntry(subject, fault));
  }

  /** An exception for changed settings that only a restart can adopt; the message names them. */
  public static ConfigException restartRequired(String message) {
    return new ConfigException(new ConfigError.RestartRequired(message));
  }

  /** The file, line and key at fault. */
  public ConfigError error() {
    return error;
  }
}
