package rosecleat.cli;

/** The one line on standard error by which a failed command names its cause. */
final class ErrorLine {
  private ErrorLine() {}

  /** Prints a message, with its line breaks replaced by blanks, after the program's name. */
  static void print(String message) {
    System.err.println("rosecleat: " + message.replaceAll("\\s*\\R\\s*", " "));
  }
}
