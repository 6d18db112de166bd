package rosecleat.store;

import java.util.Optional;

/** Is told whether accepted records became durable. */
@FunctionalInterface
public interface AppendCallback {
  /**
   * Called once for each accepted append, on the writer's thread; must not block.
   *
   * @param failure empty once all records of the append are durable; otherwise none of them counts
   */
  void completed(Optional<AppendFailure> failure);
}
