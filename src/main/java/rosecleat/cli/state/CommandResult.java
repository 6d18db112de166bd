package rosecleat.cli.state;

/**
 * The result of a command on a state folder.
 *
 * @param exitCode {@link #SUCCESS}, {@link #UNUSABLE} or {@link #DAMAGED}
 * @param isErrorLine whether the text is an error message for standard error rather than output
 * @param text the text to print, without a final line separator
 */
public record CommandResult(int exitCode, boolean isErrorLine, String text) {
  static final int SUCCESS = 0;

  /**
   * Exit code if the folder does not exist, cannot be read or compacted, is locked, or was written
   * by a newer version.
   */
  static final int UNUSABLE = 2;

  /** Exit code if a file in the folder is damaged. */
  static final int DAMAGED = 3;

  static CommandResult output(int exitCode, String text) {
    return new CommandResult(exitCode, false, text);
  }
}
