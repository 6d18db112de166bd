package rosecleat.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;

/** {@code help}: prints the usage of all commands. */
@Parameters(commandDescription = "print this help")
final class HelpCommand implements Command {
  @Override
  public int run(Invocation invocation) throws IOException {
    StringBuilder usage = new StringBuilder();
    invocation.parser().getUsageFormatter().usage(usage);
    invocation.print(usage.toString().strip());
    return SUCCESS;
  }
}
