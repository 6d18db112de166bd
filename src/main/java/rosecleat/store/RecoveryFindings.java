package rosecleat.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Collects the issues that recovery finds and the files to be quarantined or deleted. */
final class RecoveryFindings {
  private final Set<String> existingFiles;
  private final List<RecoveryIssue> issues = new ArrayList<>();
  private final List<String> corruptFiles = new ArrayList<>();
  private final List<String> obsoleteFiles = new ArrayList<>();
  private long records;

  RecoveryFindings(Set<String> existingFiles) {
    this.existingFiles = existingFiles;
  }

  /** Adds an issue of a file that must not be used; the file is quarantined if it exists. */
  void addCorruptFile(RecoveryIssue issue) {
    issues.add(issue);
    if (existingFiles.contains(issue.file())) {
      corruptFiles.add(issue.file());
    }
  }

  /** Adds an issue that loses no acknowledged record. */
  void addIssue(RecoveryIssue issue) {
    issues.add(issue);
  }

  void addObsoleteFile(String name) {
    obsoleteFiles.add(name);
  }

  /** Adds to the number of records to be replayed. */
  void addRecords(long count) {
    records += count;
  }

  List<RecoveryIssue> issues() {
    return List.copyOf(issues);
  }

  List<String> corruptFiles() {
    return List.copyOf(corruptFiles);
  }

  List<String> obsoleteFiles() {
    return List.copyOf(obsoleteFiles);
  }

  long records() {
    return records;
  }
}
