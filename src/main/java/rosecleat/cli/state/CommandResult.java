package rosecleat.cli.state;

/**
 * The outcome of a command on a state folder.
 *
 * @param exitCode 0 where all is well, {@link #UNUSABLE} or {@link #DAMAGED}
 * @param isErrorLine whether the text is an error line for people rather than the command's output
 * @param text what is printed, without a final line separator
 */
public record CommandResult(int exitCode, boolean isErrorLine, String text) {
  static final int SUCCESS = 0;

  /** The exit code where the folder does not exist or cannot be used. */
  static final int UNUSABLE = 2;

  /** The exit code where a file of the folder is damaged. */
  static final int DAMAGED = 3;

  static CommandResult output(int exitCode, String text) {
    return new CommandResult(exitCode, false, text);
  }
}
