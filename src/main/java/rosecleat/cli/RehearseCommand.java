package rosecleat.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import rosecleat.config.NodeConfigReader;
import rosecleat.node.Rehearsal;

/**
 * {@code rehearse}: loads the classes of a serving node, for the class data sharing archive that
 * the build creates.
 */
@Parameters(
    commandDescription =
        "serve synthetic requests on loopback, to create the class data sharing archive")
final class RehearseCommand implements Command {
  private static final int FAILURE = 1;

  @Override
  public int run(Invocation invocation) throws IOException {
    boolean allAnswered = Rehearsal.run(NodeConfigReader.fromEnvironment(invocation.environment()));
    return allAnswered ? SUCCESS : FAILURE;
  }
}
