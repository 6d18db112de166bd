package rosecleat.cli.state;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import rosecleat.state.FactStateFactory;
import rosecleat.store.Directory;
import rosecleat.store.OpenResult;
import rosecleat.store.RecordStore;
import rosecleat.store.RecoveryReport;

/** {@code state compact}: rewrites the folder as one snapshot and quarantines damaged files. */
@Parameters(commandDescription = "rewrite the folder as one snapshot; the node must not be running")
final class CompactCommand extends FolderCommand {
  /** Size limit above any real folder, so that compaction never fails because of the limit. */
  private static final long MAX_BYTES = 1L << 40;

  @Override
  CommandResult run(Path path, Directory folder, long nowUs) throws IOException {
    RecoveryReport before = RecordStore.inspect(folder, new FactStateFactory());
    OpenResult opening = RecordStore.compact(folder, new FactStateFactory(), MAX_BYTES);
    if (opening instanceof OpenResult.Locked) {
      return failure(
          "state folder "
              + path
              + " is locked by another process, usually the running node, which compacts it by"
              + " itself when its log has grown; stop the node to compact it now");
    } else if (opening instanceof OpenResult.Incompatible incompatible) {
      return failure(incompatible.format().message());
    } else if (opening instanceof OpenResult.Failed failed) {
      return failure("state folder " + path + " cannot be compacted: " + failed.cause());
    }
    RecoveryReport after = RecordStore.inspect(folder, new FactStateFactory());
    return CommandResult.output(
        before.hasCorruption() ? CommandResult.DAMAGED : CommandResult.SUCCESS,
        printsJson() ? json(path, before, after) : text(path, before, after));
  }

  private static String json(Path path, RecoveryReport before, RecoveryReport after) {
    return JSON.createObjectNode()
        .put("folder", path.toString())
        .put("before", before.bytes())
        .put("after", after.bytes())
        .put("damaged", before.hasCorruption())
        .toString();
  }

  private static String text(Path path, RecoveryReport before, RecoveryReport after) {
    String sizes = path + ": " + before.bytes() + " bytes before, " + after.bytes() + " after";
    return before.hasCorruption() ? sizes + "; damaged files are set aside as damaged-*" : sizes;
  }
}
