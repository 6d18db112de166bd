package rosecleat.cli.state;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import rosecleat.state.FactOwner;
import rosecleat.store.Disk;
import rosecleat.store.Recovered;
import rosecleat.store.Store;

/** {@code state compact}: rewrites the folder as one snapshot, and sets damaged files aside. */
@Parameters(commandDescription = "write all that counts into one snapshot; no node may be writing")
final class CompactCommand extends FolderCommand {
  /** A bound on the folder's size that no folder reaches: compaction must not fail on it. */
  private static final long MAX_BYTES = 1L << 40;

  @Override
  CommandResult run(Path path, Disk folder, long nowUs) throws IOException {
    Recovered before = Store.look(folder, new FactOwner());
    Store.Opening opening = Store.compact(folder, new FactOwner(), MAX_BYTES);
    if (opening instanceof Store.Locked) {
      return failure(
          "a running node writes to " + path + "; it compacts by itself, or stop it first");
    } else if (opening instanceof Store.Refused refused) {
      return failure(refused.why());
    } else if (opening instanceof Store.Failed failed) {
      return failure(path + " can't be compacted: " + failed.why());
    }
    Recovered after = Store.look(folder, new FactOwner());
    return CommandResult.output(
        before.damaged() ? CommandResult.DAMAGED : CommandResult.SUCCESS,
        printsJson() ? json(path, before, after) : text(path, before, after));
  }

  private static String json(Path path, Recovered before, Recovered after) {
    return JSON.createObjectNode()
        .put("folder", path.toString())
        .put("before", before.bytes())
        .put("after", after.bytes())
        .put("damaged", before.damaged())
        .toString();
  }

  private static String text(Path path, Recovered before, Recovered after) {
    String sizes = path + ": " + before.bytes() + " bytes before, " + after.bytes() + " after";
    return before.damaged() ? sizes + "; what was damaged is set aside as damaged-*" : sizes;
  }
}
