package rosecleat.cli;

import com.beust.jcommander.JCommander;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The surroundings of one command: the words of the command line, the environment and the streams.
 *
 * @param arguments all words of the command line, the command's name first
 * @param parser the parser that has read them
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

  /** Writes a text and a line separator to the standard output, and flushes it. */
  void print(String text) throws IOException {
    output.write((text + System.lineSeparator()).getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
