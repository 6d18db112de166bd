package rosecleat.store;

import java.util.function.Consumer;

/**
 * The state that an application derives from its records. Replaying all records in order, or those
 * of a snapshot and all later ones, leads to an equivalent state. Used by one thread; each recovery
 * and each compaction creates its own.
 */
public interface StateMachine {
  /** Applies the next record. Skips a payload that it cannot decode; must not fail on one. */
  void apply(StoredRecord record);

  /** Passes records to {@code output} that lead to the current state when applied in order. */
  void writeSnapshot(Consumer<StoredRecord> output);
}
