package rosecleat.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import rosecleat.node.ProcessConfig;

/** {@code check}: reads the configuration as {@code serve} does, and starts nothing. */
@Parameters(commandDescription = "read the configuration and say whether it can be used")
final class CheckCommand implements Command {
  @ParametersDelegate private final NodeOptions options = new NodeOptions();

  @Override
  public int run(Invocation invocation) throws IOException {
    ProcessConfig config = options.readConfig(invocation.environment());
    String verdict = "the configuration of " + config.node().name() + " can be used";
    if (config.broker().isPresent()) {
      verdict += ", and so can its " + config.broker().get().operations().size() + " contracts";
    }
    invocation.print(verdict);
    return SUCCESS;
  }
}
