package rosecleat.store;

import java.util.List;
import java.util.Optional;

/**
 * The result of recovering a directory.
 *
 * @param unsupportedFormat present if a newer version of the program wrote the directory, which
 *     must then not be read or changed
 * @param state the application's state after replaying the snapshot and the log; an empty state if
 *     the format is not supported
 * @param issues the problems found, in the order in which they were found
 * @param records number of records that were replayed, 0 if the format is not supported
 * @param bytes total size of all files of the store
 * @param plan the changes to the files that are needed before writing; empty if the format is not
 *     supported
 */
public record RecoveryReport(
    Optional<UnsupportedFormat> unsupportedFormat,
    StateMachine state,
    List<RecoveryIssue> issues,
    long records,
    long bytes,
    Optional<RecoveryPlan> plan) {
  /** Returns whether data that had been written completely is lost. */
  public boolean hasCorruption() {
    return issues.stream().anyMatch(RecoveryIssue::isCorruption);
  }

  /** Returns whether the directory contains no store yet. */
  public boolean isNewStore() {
    return plan.isPresent() && plan.get().newStore();
  }
}
