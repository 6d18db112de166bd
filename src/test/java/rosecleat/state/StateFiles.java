package rosecleat.state;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import rosecleat.facts.Fact;
import rosecleat.store.Entry;
import rosecleat.store.Folder;
import rosecleat.store.Store;

/** Folders of facts made by hand. */
public final class StateFiles {
  private static final Store.Limits LIMITS = new Store.Limits(4 << 20, 64, 1 << 20);

  private StateFiles() {}

  /** Writes entries into a folder. */
  static void write(Path folder, List<Entry> entries) throws IOException {
    Store.Opening opening = Store.open(Folder.made(folder), new FactOwner(), LIMITS, line -> {});
    if (!(opening instanceof Store.Opened opened)) {
      throw new IOException(opening.toString());
    }
    opened.store().append(entries, fault -> {});
    opened.store().close();
  }

  /** Adds a fact of a node to a folder. */
  public static void learnt(Path folder, String node, Fact fact) throws IOException {
    write(folder, List.of(FactCodec.entry(node, List.of(fact))));
  }

  /**
   * Writes the facts of one folder into another as if they were learnt just now, each changed in
   * some way.
   */
  public static void rewritten(Path from, Path to, long nowUs, UnaryOperator<Fact> change)
      throws IOException {
    FactOwner.Facts facts = (FactOwner.Facts) Store.look(Folder.of(from), new FactOwner()).fold();
    write(
        to,
        facts.all().stream()
            .map(
                kept -> {
                  Fact f = kept.fact();
                  Fact fresh =
                      new Fact(
                          f.kind(), f.subject(), f.value(), f.weight(), nowUs, f.settingsDigest());
                  return FactCodec.entry(kept.node(), List.of(change.apply(fresh)));
                })
            .toList());
  }
}
