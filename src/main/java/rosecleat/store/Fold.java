package rosecleat.store;

import java.util.function.Consumer;

/**
 * What an owner makes of its records: all of them in the order they were written, or fewer that
 * mean the same. Used on one thread; a new one is made for each recovery and each compaction.
 */
public interface Fold {
  /**
   * Takes in one more record. A payload that the owner can't read is the owner's to count and to
   * leave out.
   */
  void add(Entry entry);

  /** Gives the records that stand for all that were added, in order. */
  void forEach(Consumer<Entry> taker);
}
