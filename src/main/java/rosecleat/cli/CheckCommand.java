package rosecleat.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import rosecleat.node.ProcessConfig;

/** {@code check}: reads the configuration like {@code serve}, without starting a node. */
@Parameters(commandDescription = "validate the configuration without starting a node")
final class CheckCommand implements Command {
  @ParametersDelegate private final NodeOptions options = new NodeOptions();

  @Override
  public int run(Invocation invocation) throws IOException {
    ProcessConfig config = options.readConfig(invocation.environment());
    String verdict = "configuration of node " + config.node().name() + " is valid";
    if (config.broker().isPresent()) {
      verdict += ", with " + config.broker().get().operations().size() + " contracts";
    }
    invocation.print(verdict);
    return SUCCESS;
  }
}
