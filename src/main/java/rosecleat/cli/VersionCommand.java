package rosecleat.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;

/** {@code version}: prints the version that the jar's manifest names. */
@Parameters(commandDescription = "print the version")
final class VersionCommand implements Command {
  /** Printed in place of a version where the classes do not come from the packaged jar. */
  private static final String NOT_PACKAGED = "unpacked";

  @Override
  public int run(Invocation invocation) throws IOException {
    String packaged = VersionCommand.class.getPackage().getImplementationVersion();
    invocation.print("rosecleat " + (packaged == null ? NOT_PACKAGED : packaged));
    return SUCCESS;
  }
}
