package rosecleat.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;

/** {@code version}: prints the version from the manifest of the jar. */
@Parameters(commandDescription = "print the version")
final class VersionCommand implements Command {
  /** Printed instead of a version if the classes are not loaded from the packaged jar. */
  private static final String NOT_PACKAGED = "unpacked";

  @Override
  public int run(Invocation invocation) throws IOException {
    String packaged = VersionCommand.class.getPackage().getImplementationVersion();
    invocation.print("rosecleat " + (packaged == null ? NOT_PACKAGED : packaged));
    return SUCCESS;
  }
}
