package rosecleat.cli;

import com.beust.jcommander.JCommander;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The context of a command: the command line arguments, the environment and the standard streams.
 *
 * @param arguments all command line arguments, starting with the name of the command
 * @param parser the parser that has parsed the arguments
 * @param environment the environment variables of the process
 * @param input the standard input
 * @param output the standard output
 */
record Invocation(
    String[] arguments,
    JCommander parser,
    Map<String, String> environment,
    InputStream input,
    OutputStream output) {

  /** Writes a text and a line separator to standard output and flushes it. */
  void print(String text) throws IOException {
    output.write((text + System.lineSeparator()).getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
