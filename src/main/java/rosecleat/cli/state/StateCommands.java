package rosecleat.cli.state;

import com.beust.jcommander.JCommander;

/**
 * The commands {@code state show|verify|compact FOLDER}, which print, verify or compact the state
 * folder of a node.
 */
public final class StateCommands {
  private static final String EXAMPLES =
      """

      Examples:
        rosecleat state show /var/lib/rosecleat
        rosecleat state verify /var/lib/rosecleat || echo "state folder is damaged"
        rosecleat state compact /var/lib/rosecleat --json
      """;

  private StateCommands() {}

  /** Adds the commands to the parser of {@code state}. */
  public static void addTo(JCommander stateParser) {
    stateParser.addCommand("show", new ShowCommand());
    stateParser.addCommand("verify", new VerifyCommand());
    stateParser.addCommand("compact", new CompactCommand());
  }

  /**
   * Runs the parsed command without printing anything; the current wall-clock time is given in
   * microseconds. Without a command, or with {@code --help}, the result is the usage.
   */
  public static CommandResult run(JCommander stateParser, long nowUs) {
    String name = stateParser.getParsedCommand();
    if (name == null) {
      return usage(stateParser);
    }
    JCommander commandParser = stateParser.getCommands().get(name);
    FolderCommand command = (FolderCommand) commandParser.getObjects().get(0);
    return command.asksForHelp() ? usage(commandParser) : command.run(nowUs);
  }

  private static CommandResult usage(JCommander parser) {
    StringBuilder usage = new StringBuilder();
    parser.getUsageFormatter().usage(usage);
    return CommandResult.output(CommandResult.SUCCESS, usage + EXAMPLES);
  }
}
