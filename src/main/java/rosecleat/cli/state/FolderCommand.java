package rosecleat.cli.state;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import rosecleat.store.Directory;
import rosecleat.store.FileSystemDirectory;

/** A command on one state folder, with the options that are common to all such commands. */
abstract class FolderCommand {
  /** Serializes the JSON output. */
  static final ObjectMapper JSON = new ObjectMapper();

  @Parameter(description = "FOLDER", required = true, arity = 1)
  private List<String> folder;

  @Parameter(names = "--json", description = "print JSON for scripts")
  private boolean json;

  @Parameter(names = "--help", help = true, description = "print this help")
  private boolean help;

  /** Returns whether the output is JSON for scripts rather than human-readable text. */
  final boolean printsJson() {
    return json;
  }

  /** Returns whether only the usage of the command is requested. */
  final boolean asksForHelp() {
    return help;
  }

  /** Runs the command; the current wall-clock time is given in microseconds. */
  final CommandResult run(long nowUs) {
    Path path = Path.of(folder.get(0));
    try {
      return run(path, FileSystemDirectory.openExisting(path), nowUs);
    } catch (NoSuchFileException e) {
      return failure(
          "state folder "
              + path
              + " does not exist; expected the folder that state.folder in the broker file names");
    } catch (IOException e) {
      return failure("state folder " + path + " cannot be read: " + e);
    }
  }

  /** Runs the command on an existing folder. */
  abstract CommandResult run(Path path, Directory folder, long nowUs) throws IOException;

  /** Creates the result of a command that cannot use the folder. */
  final CommandResult failure(String cause) {
    return json
        ? CommandResult.output(
            CommandResult.UNUSABLE, JSON.createObjectNode().put("error", cause).toString())
        : new CommandResult(CommandResult.UNUSABLE, true, cause);
  }
}
