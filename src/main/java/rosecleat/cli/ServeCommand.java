package rosecleat.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import rosecleat.node.NodeProcess;

/** {@code serve}: starts a node, which continues to run after the command returns. */
@Parameters(
    commandDescription =
        "run a node, configured by PROXY_CONFIG or, if that is not set, by the broker file alone")
final class ServeCommand implements Command {
  private static final String SHARED_FOLDER_VARIABLE = "TMPDIR";

  @ParametersDelegate private final NodeOptions options = new NodeOptions();

  @Override
  public int run(Invocation invocation) throws IOException {
    Map<String, String> environment = invocation.environment();
    return NodeProcess.start(
        options.readConfig(environment),
        () -> options.readConfig(environment),
        sharedFolder(environment),
        options.counterIntervalSeconds());
  }

  /** Returns the folder that all processes of a node share; empty if none is configured. */
  private static Optional<Path> sharedFolder(Map<String, String> environment) {
    String folder = environment.get(SHARED_FOLDER_VARIABLE);
    return folder == null || folder.isBlank() ? Optional.empty() : Optional.of(Path.of(folder));
  }
}
