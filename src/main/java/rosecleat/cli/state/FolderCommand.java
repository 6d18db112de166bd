package rosecleat.cli.state;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import rosecleat.store.Directory;
import rosecleat.store.FileSystemDirectory;

/** A command on one state folder, with the options that all of them take. */
abstract class FolderCommand {
  /** Writes the JSON output. */
  static final ObjectMapper JSON = new ObjectMapper();

  @Parameter(description = "FOLDER", required = true, arity = 1)
  private List<String> folder;

  @Parameter(names = "--json", description = "print JSON for scripts")
  private boolean json;

  @Parameter(names = "--help", help = true, description = "print this help")
  private boolean help;

  /** Whether the output is JSON for scripts rather than text for people. */
  final boolean printsJson() {
    return json;
  }

  /** Whether the command line asks for the command's usage alone. */
  final boolean asksForHelp() {
    return help;
  }

  /** Runs the command at a wall-clock time in microseconds. */
  final CommandResult run(long nowUs) {
    Path path = Path.of(folder.get(0));
    try {
      return run(path, FileSystemDirectory.openExisting(path), nowUs);
    } catch (NoSuchFileException e) {
      return failure(
          "there is no folder "
              + path
              + "; name the one that state.folder in the broker's file names");
    } catch (IOException e) {
      return failure(path + " can't be read: " + e);
    }
  }

  /** Runs the command on an existing folder. */
  abstract CommandResult run(Path path, Directory folder, long nowUs) throws IOException;

  /** The result of a command that cannot use the folder. */
  final CommandResult failure(String cause) {
    return json
        ? CommandResult.output(
            CommandResult.UNUSABLE, JSON.createObjectNode().put("error", cause).toString())
        : new CommandResult(CommandResult.UNUSABLE, true, cause);
  }
}
