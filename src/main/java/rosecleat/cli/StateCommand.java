package rosecleat.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import rosecleat.cli.state.CommandResult;
import rosecleat.cli.state.StateCommands;

/**
 * {@code state}: the group of commands on a state folder. The commands are in a separate package,
 * so that a serving node loads none of their classes.
 */
@Parameters(commandDescription = "show, verify or compact the state folder of a node")
final class StateCommand implements Command {
  static final String NAME = "state";

  /** Adds the commands of the group to the parser; must be called before parsing. */
  static void addSubcommands(JCommander parser) {
    StateCommands.addTo(parser.getCommands().get(NAME));
  }

  @Override
  public int run(Invocation invocation) throws IOException {
    CommandResult result =
        StateCommands.run(
            invocation.parser().getCommands().get(NAME), System.currentTimeMillis() * 1000);
    if (result.isErrorLine()) {
      ErrorLine.print(result.text());
    } else {
      invocation.print(result.text());
    }
    return result.exitCode();
  }
}
