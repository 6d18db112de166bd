package rosecleat.state;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import rosecleat.facts.Fact;
import rosecleat.store.FileSystemDirectory;
import rosecleat.store.OpenResult;
import rosecleat.store.RecordStore;
import rosecleat.store.StoredRecord;

/** Folders of facts made by hand. */
public final class StateFiles {
  private static final RecordStore.Limits LIMITS = new RecordStore.Limits(4 << 20, 64, 1 << 20);

  private StateFiles() {}

  /** Writes entries into a folder. */
  static void write(Path folder, List<StoredRecord> entries) throws IOException {
    OpenResult opening =
        RecordStore.open(
            FileSystemDirectory.openOrCreate(folder), new FactStateFactory(), LIMITS, line -> {});
    if (!(opening instanceof OpenResult.Opened opened)) {
      throw new IOException(opening.toString());
    }
    opened.store().append(entries, failure -> {});
    opened.store().close();
  }

  /** Adds a fact of a node to a folder. */
  public static void learnt(Path folder, String node, Fact fact) throws IOException {
    write(folder, List.of(FactCodec.encode(node, List.of(fact))));
  }

  /**
   * Writes the facts of one folder into another as if they were learnt just now, each changed in
   * some way.
   */
  public static void rewritten(Path from, Path to, long nowUs, UnaryOperator<Fact> change)
      throws IOException {
    FactState facts =
        (FactState)
            RecordStore.inspect(FileSystemDirectory.openExisting(from), new FactStateFactory())
                .state();
    write(
        to,
        facts.facts().stream()
            .map(
                nodeFact -> {
                  Fact f = nodeFact.fact();
                  Fact fresh =
                      new Fact(
                          f.kind(), f.subject(), f.value(), f.weight(), nowUs, f.settingsDigest());
                  return FactCodec.encode(nodeFact.node(), List.of(change.apply(fresh)));
                })
            .toList());
  }
}
