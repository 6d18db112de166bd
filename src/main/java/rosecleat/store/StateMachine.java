package rosecleat.store;

import java.util.function.Consumer;

/**
 * The state that an application derives from its records. Replaying all records in the order in
 * which they were written yields a state equivalent to replaying a snapshot and all later records.
 * Not thread-safe; each recovery and each compaction creates its own instance.
 */
public interface StateMachine {
  /** Applies the next record. Must skip a payload that cannot be decoded, without failing. */
  void apply(StoredRecord record);

  /** Passes records to {@code output} that yield the current state when applied in that order. */
  void writeSnapshot(Consumer<StoredRecord> output);
}
