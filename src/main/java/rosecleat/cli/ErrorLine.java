package rosecleat.cli;

/** Prints the single line on standard error that states why a command failed. */
final class ErrorLine {
  private ErrorLine() {}

  /** Prints the program's name and a message whose line breaks are replaced by spaces. */
  static void print(String message) {
    System.err.println("rosecleat: " + message.replaceAll("\\s*\\R\\s*", " "));
  }
}
