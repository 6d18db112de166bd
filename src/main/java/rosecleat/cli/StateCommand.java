package rosecleat.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import rosecleat.cli.state.CommandResult;
import rosecleat.cli.state.StateCommands;

/**
 * {@code state}: the group of commands on a state folder. They stand in a package of their own, so
 * that a node that serves loads none of their classes.
 */
@Parameters(commandDescription = "show, verify or compact what a node keeps in a folder")
final class StateCommand implements Command {
  static final String NAME = "state";

  /** Adds the commands of the group to the parser, before it reads the command line. */
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
