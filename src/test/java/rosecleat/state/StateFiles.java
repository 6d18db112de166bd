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

/** Writes state folders for tests. */
public final class StateFiles {
  private static final RecordStore.Limits LIMITS = new RecordStore.Limits(4 << 20, 64, 1 << 20);

  private StateFiles() {}

  /** Appends records to a folder. */
  static void write(Path folder, List<StoredRecord> records) throws IOException {
    OpenResult result =
        RecordStore.open(
            FileSystemDirectory.openOrCreate(folder), new FactStateFactory(), LIMITS, line -> {});
    if (!(result instanceof OpenResult.Opened opened)) {
      throw new IOException(result.toString());
    }
    opened.store().append(records, failure -> {});
    opened.store().close();
  }

  /** Adds a fact of a node to a folder. */
  public static void append(Path folder, String node, Fact fact) throws IOException {
    write(folder, List.of(FactCodec.encode(node, List.of(fact))));
  }

  /**
   * Writes the facts of one folder to another folder, each with a new time and changed by a
   * function.
   */
  public static void rewrite(Path from, Path to, long nowUs, UnaryOperator<Fact> change)
      throws IOException {
    FactState state =
        (FactState)
            RecordStore.inspect(FileSystemDirectory.openExisting(from), new FactStateFactory())
                .state();
    write(
        to,
        state.facts().stream()
            .map(
                nodeFact -> {
                  Fact fact = nodeFact.fact();
                  Fact fresh =
                      new Fact(
                          fact.kind(),
                          fact.subject(),
                          fact.value(),
                          fact.weight(),
                          nowUs,
                          fact.settingsDigest());
                  return FactCodec.encode(nodeFact.node(), List.of(change.apply(fresh)));
                })
            .toList());
  }
}
