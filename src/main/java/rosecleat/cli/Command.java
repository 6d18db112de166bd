package rosecleat.cli;

import java.io.IOException;

/**
 * One sub-command of the program. Its fields are the options that the command line sets before
 * {@link #run} is called, once, on the main thread.
 */
interface Command {
  /** The exit code of a command that has done its job. */
  int SUCCESS = 0;

  /** The exit code where the command line, the configuration or a file cannot be used. */
  int UNUSABLE = 2;

  /**
   * Executes the command.
   *
   * @return the exit code of the process, or {@link rosecleat.node.NodeProcess#KEEPS_RUNNING} where
   *     the process keeps running
   * @throws IOException where input or output fails; its message becomes the error line
   * @throws rosecleat.config.ConfigException where a configuration cannot be used
   */
  int run(Invocation invocation) throws IOException;
}
