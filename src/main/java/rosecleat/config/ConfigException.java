package rosecleat.config;

/** A configuration that cannot be used; its message is the one line the process ends with. */
public final class ConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** An error whose message names the thing at fault. */
  public ConfigException(String message) {
    super(message, null, false, false);
  }
}
