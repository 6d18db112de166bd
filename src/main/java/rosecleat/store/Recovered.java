package rosecleat.store;

import java.util.List;

/**
 * What a folder holds, as far as it counts.
 *
 * @param refusal why nothing here may be read or written, as a sentence; null where all is well
 * @param fold the owner's records that count
 * @param findings what was cut off or is damaged, in order of meeting it
 * @param entries how many records count
 * @param bytes what all files of the store take on disk
 * @param plan how the writing goes on, null with a refusal
 */
public record Recovered(
    String refusal, Fold fold, List<Finding> findings, long entries, long bytes, Plan plan) {
  /** Whether something that had been written whole is lost. */
  public boolean damaged() {
    return findings.stream().anyMatch(Finding::damage);
  }

  /** Whether there is no store here yet. */
  public boolean fresh() {
    return plan != null && plan.fresh;
  }

  /**
   * Where the files stand.
   *
   * @param snapshot the one that counts, 0 for none
   * @param olderSnapshot the one kept behind it, 0 for none
   * @param logs those that count, in order, each with its good bytes
   * @param highest the highest number of any file
   * @param aside names to be set aside
   * @param leftovers names to be deleted
   * @param rebase whether what counts must be written down anew, as the files no longer lead to it
   */
  record Plan(
      boolean fresh,
      long snapshot,
      long olderSnapshot,
      List<Log> logs,
      long highest,
      List<String> aside,
      List<String> leftovers,
      boolean rebase) {}

  /** A log and how many of its bytes count. */
  record Log(long number, long good) {}
}
