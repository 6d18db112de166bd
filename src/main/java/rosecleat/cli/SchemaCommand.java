package rosecleat.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import rosecleat.config.ConfigSchema;

/** {@code schema}: prints the JSON Schema of the broker file. */
@Parameters(commandDescription = "print the JSON Schema of the broker file")
final class SchemaCommand implements Command {
  @Override
  public int run(Invocation invocation) throws IOException {
    invocation.print(ConfigSchema.BROKER.text().strip());
    return SUCCESS;
  }
}
