package rosecleat.store;

import java.util.Optional;

/** Receives the outcome of an append that the store accepted. */
@FunctionalInterface
public interface AppendCallback {
  /**
   * Called once for each accepted append, on the writer's thread, which it must not block.
   *
   * @param failure empty if all records of the append are durable; otherwise the reason why the
   *     append failed, in which case none of its records counts
   */
  void completed(Optional<AppendFailure> failure);
}
