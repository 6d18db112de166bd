package rosecleat.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import rosecleat.store.RecoveryIssue.Cause;
import rosecleat.store.wire.Manifest;

/**
 * Reads a store's directory and replays its valid content without changing any file. Each file is
 * verified completely before any of its records is applied. If another process writes to the
 * directory, files may disappear during recovery; this causes an {@link IOException}, and the
 * caller can try again.
 */
final class Recovery {
  private final Directory directory;
  private final StateMachineFactory factory;
  private final FileVerifier verifier;
  private final Set<String> files;
  private final RecoveryFindings findings;
  private boolean snapshotLost;

  private Recovery(Directory directory, StateMachineFactory factory) throws IOException {
    this.directory = directory;
    this.factory = factory;
    verifier = new FileVerifier(factory);
    files = directory.list();
    findings = new RecoveryFindings(files);
  }

  /** Recovers the state of a directory, which may be empty. */
  static RecoveryReport run(Directory directory, StateMachineFactory factory) throws IOException {
    return new Recovery(directory, factory).run();
  }

  private RecoveryReport run() throws IOException {
    long bytes = totalBytes();
    StateMachine state = factory.newStateMachine();
    try {
      RecoveryPlan plan = plan();
      RecordReplay.replay(directory, plan.snapshot(), plan.segments(), state);
      return new RecoveryReport(
          Optional.empty(), state, findings.issues(), findings.records(), bytes, Optional.of(plan));
    } catch (UnsupportedFormatException e) {
      return new RecoveryReport(
          Optional.of(e.format()),
          factory.newStateMachine(),
          findings.issues(),
          0,
          bytes,
          Optional.empty());
    }
  }

  private long totalBytes() throws IOException {
    long bytes = 0;
    for (String name : files) {
      if (FileNames.isStoreFile(name)) {
        bytes += directory.fileSize(name);
      }
    }
    return bytes;
  }

  private RecoveryPlan plan() throws IOException, UnsupportedFormatException {
    List<Long> segmentNumbers = FileNames.segmentNumbers(files);
    List<Long> snapshotNumbers = FileNames.snapshotNumbers(files);
    files.stream()
        .filter(FileNames::isStoreFile)
        .filter(FileNames::isTemporary)
        .forEach(findings::addObsoleteFile);
    long highestNumber = Math.max(last(segmentNumbers), last(snapshotNumbers));
    if (highestNumber == 0 && !files.contains(FileNames.MANIFEST)) {
      return RecoveryPlan.forNewStore(findings.obsoleteFiles());
    }
    Optional<Manifest> manifest = readManifest();
    long snapshot = selectSnapshot(candidates(manifest, snapshotNumbers));
    long olderSnapshot =
        manifest.isPresent() && snapshot == manifest.get().getSnapshot()
            ? manifest.get().getOlderSnapshot()
            : 0;
    addObsoleteSnapshots(snapshotNumbers, snapshot, olderSnapshot);
    List<LogSegment> segments =
        new LogChainVerifier(directory, verifier, findings)
            .verify(snapshot, segmentNumbers, snapshotLost);
    List<String> corruptFiles = findings.corruptFiles();
    return new RecoveryPlan(
        false,
        snapshot,
        olderSnapshot,
        segments,
        highestNumber,
        corruptFiles,
        findings.obsoleteFiles(),
        manifest.isEmpty() || !corruptFiles.isEmpty());
  }

  private static long last(List<Long> numbers) {
    return numbers.isEmpty() ? 0 : numbers.get(numbers.size() - 1);
  }

  private Optional<Manifest> readManifest() throws IOException, UnsupportedFormatException {
    String name = FileNames.MANIFEST;
    if (!files.contains(name)) {
      findings.addCorruptFile(RecoveryIssue.of(Cause.MANIFEST_MISSING, name, 0, 0));
      return Optional.empty();
    }
    try (FileWindow file = new FileWindow(directory.openInput(name))) {
      Optional<Manifest> manifest = ManifestFile.read(file);
      if (manifest.isEmpty()) {
        findings.addCorruptFile(RecoveryIssue.of(Cause.MANIFEST_UNREADABLE, name, 0, file.size()));
      }
      return manifest;
    } catch (InvalidProtocolBufferException e) {
      findings.addCorruptFile(RecoveryIssue.of(Cause.MANIFEST_UNREADABLE, name, 0, 0));
      return Optional.empty();
    }
  }

  /** Returns the numbers of the snapshots to try, newest first. */
  private static List<Long> candidates(Optional<Manifest> manifest, List<Long> snapshotNumbers) {
    List<Long> candidates = new ArrayList<>();
    if (manifest.isEmpty()) {
      snapshotNumbers.forEach(number -> candidates.add(0, number));
    } else if (manifest.get().getSnapshot() > 0) {
      candidates.add(manifest.get().getSnapshot());
      if (manifest.get().getOlderSnapshot() > 0) {
        candidates.add(manifest.get().getOlderSnapshot());
      }
    }
    return candidates;
  }

  /** Returns the number of the first complete snapshot; 0 if there is none. */
  private long selectSnapshot(List<Long> candidates)
      throws IOException, UnsupportedFormatException {
    for (long number : candidates) {
      if (verifySnapshot(number)) {
        return number;
      }
      snapshotLost = true; // the log continues this snapshot, not the older one
    }
    return 0;
  }

  private boolean verifySnapshot(long number) throws IOException, UnsupportedFormatException {
    String name = FileNames.snapshot(number);
    if (!files.contains(name)) {
      findings.addCorruptFile(RecoveryIssue.of(Cause.SNAPSHOT_MISSING, name, 0, 0));
      return false;
    }
    try (FileWindow file = new FileWindow(directory.openInput(name))) {
      Optional<FileHeader> header = FileVerifier.readHeader(name, file);
      long validBytes = 0;
      if (header.isPresent() && header.get().matches(FileHeader.SNAPSHOT, number)) {
        FileVerifier.Verification result = verifier.verify(name, file, number, file.size());
        if (result.isCompleteSnapshot()) {
          findings.addRecords(result.records());
          return true;
        }
        validBytes = result.validBytes();
      }
      findings.addCorruptFile(
          RecoveryIssue.of(Cause.SNAPSHOT_INCOMPLETE, name, validBytes, file.size()));
      return false;
    }
  }

  private void addObsoleteSnapshots(List<Long> numbers, long snapshot, long olderSnapshot) {
    List<String> corruptFiles = findings.corruptFiles();
    for (long number : numbers) {
      String name = FileNames.snapshot(number);
      if (number != snapshot && number != olderSnapshot && !corruptFiles.contains(name)) {
        findings.addObsoleteFile(name);
      }
    }
  }
}
