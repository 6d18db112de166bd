package rosecleat.store;

import java.util.List;
import java.util.Optional;

/**
 * What recovery found in a directory.
 *
 * @param unsupportedFormat set where a newer program wrote the directory, which must then not be
 *     read or changed
 * @param state the application's state after replaying the snapshot and the log; empty where the
 *     format is not supported
 * @param issues what is torn or corrupt, in the order in which it was found
 * @param records number of records that were replayed
 * @param bytes size of all files of the store
 * @param plan what has to be done before writing continues; empty where the format is not supported
 */
public record RecoveryReport(
    Optional<UnsupportedFormat> unsupportedFormat,
    StateMachine state,
    List<RecoveryIssue> issues,
    long records,
    long bytes,
    Optional<RecoveryPlan> plan) {
  /** Whether data that had been written completely is lost. */
  public boolean hasCorruption() {
    return issues.stream().anyMatch(RecoveryIssue::isCorruption);
  }

  /** Whether the directory does not hold a store yet. */
  public boolean isNewStore() {
    return plan.isPresent() && plan.get().newStore();
  }
}
