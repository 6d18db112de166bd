package rosecleat.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The exit code and output of a command line that was run in the test process. */
public record CommandRun(int exitCode, String output, String error) {

  /** Runs a command line with an empty environment. */
  public static CommandRun of(String... arguments) {
    return with(Map.of(), arguments);
  }

  /** Runs a command line with the given environment variables. */
  public static CommandRun with(Map<String, String> environment, String... arguments) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream error = new ByteArrayOutputStream();
    PrintStream standardError = System.err;
    System.setErr(new PrintStream(error, true, StandardCharsets.UTF_8));
    try {
      int exitCode =
          Main.run(arguments, environment, new ByteArrayInputStream(new byte[0]), output);
      return new CommandRun(
          exitCode,
          output.toString(StandardCharsets.UTF_8),
          error.toString(StandardCharsets.UTF_8));
    } finally {
      System.setErr(standardError);
    }
  }
}
