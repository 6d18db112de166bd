package rosecleat.cli;

import java.io.IOException;

/**
 * A subcommand of the program. The parser sets its fields from the command line options; then
 * {@link #run} is called once, on the main thread.
 */
interface Command {
  /** Exit code of a successful command. */
  int SUCCESS = 0;

  /**
   * Exit code if the command line, the configuration or a file is invalid, or if input or output
   * fails.
   */
  int UNUSABLE = 2;

  /**
   * Executes the command.
   *
   * @return the exit code of the process, or {@link rosecleat.node.NodeProcess#KEEPS_RUNNING} if
   *     the process continues to run after the command
   * @throws IOException if input or output fails; its message is printed as the error line
   * @throws rosecleat.config.ConfigException if a configuration is invalid
   */
  int run(Invocation invocation) throws IOException;
}
