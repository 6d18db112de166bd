package rosecleat.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import rosecleat.config.NodeConfigReader;
import rosecleat.node.Rehearsal;

/** {@code rehearse}: loads the classes of a serving node, for the archive that the build makes. */
@Parameters(
    commandDescription = "serve made-up requests on loopback, for the build's archive of classes")
final class RehearseCommand implements Command {
  private static final int FAILURE = 1;

  @Override
  public int run(Invocation invocation) throws IOException {
    boolean allAnswered = Rehearsal.run(NodeConfigReader.fromEnvironment(invocation.environment()));
    return allAnswered ? SUCCESS : FAILURE;
  }
}
