package rosecleat.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rosecleat.store.RecoveryIssue.Cause;

/**
 * Finds the chain of log segments that continues a snapshot. The header of each segment states the
 * number of the preceding file and how many bytes of that file are valid. The chain ends at the
 * first segment that is corrupt or missing.
 */
final class LogChainVerifier {
  private final Directory directory;
  private final FileVerifier verifier;
  private final RecoveryFindings findings;
  private final Map<Long, FileHeader> headers = new LinkedHashMap<>();
  private final List<LogSegment> segments = new ArrayList<>();
  private long lastNumber;
  private boolean chainBroken;

  LogChainVerifier(Directory directory, FileVerifier verifier, RecoveryFindings findings) {
    this.directory = directory;
    this.verifier = verifier;
    this.findings = findings;
  }

  /**
   * Returns the segments to replay after a snapshot.
   *
   * @param snapshot number of the snapshot, 0 for none
   * @param numbers numbers of all segments, in ascending order
   * @param snapshotLost whether a newer snapshot, which the segments continue, is corrupt or
   *     missing
   */
  List<LogSegment> verify(long snapshot, List<Long> numbers, boolean snapshotLost)
      throws IOException, UnsupportedFormatException {
    lastNumber = snapshot;
    chainBroken = snapshotLost;
    List<Long> numbersAfterSnapshot = new ArrayList<>();
    for (long number : numbers) {
      if (number <= snapshot) {
        findings.addObsoleteFile(FileNames.segment(number));
      } else {
        numbersAfterSnapshot.add(number);
        readHeader(number);
      }
    }
    for (long number : numbersAfterSnapshot) {
      verifySegment(number);
    }
    return List.copyOf(segments);
  }

  private void readHeader(long number) throws IOException, UnsupportedFormatException {
    String name = FileNames.segment(number);
    try (FileWindow file = new FileWindow(directory.openInput(name))) {
      FileVerifier.readHeader(name, file)
          .filter(header -> header.matches(FileHeader.SEGMENT, number))
          .ifPresent(header -> headers.put(number, header));
    }
  }

  private void verifySegment(long number) throws IOException, UnsupportedFormatException {
    String name = FileNames.segment(number);
    FileHeader header = headers.get(number);
    Optional<FileHeader> next = nextHeader(number);
    if (header == null && next.isEmpty()) {
      findings.addIssue(issueOfWholeFile(Cause.SEGMENT_NOT_STARTED, name));
      findings.addObsoleteFile(name);
    } else if (chainBroken) {
      findings.addCorruptFile(issueOfWholeFile(Cause.PREDECESSOR_LOST, name));
    } else if (header == null) {
      findings.addCorruptFile(issueOfWholeFile(Cause.SEGMENT_HEADER_UNREADABLE, name));
      chainBroken = true;
    } else if (header.previousNumber() != lastNumber) {
      findings.addCorruptFile(
          RecoveryIssue.previousSegmentMissing(
              name, directory.fileSize(name), header.previousNumber()));
      chainBroken = true;
    } else {
      chainBroken = !verifyRecords(name, number, next);
      lastNumber = number;
    }
  }

  private Optional<FileHeader> nextHeader(long number) {
    return headers.values().stream()
        .filter(header -> header.previousNumber() == number)
        .findFirst();
  }

  /** Verifies the records of one segment; returns false if the segment is corrupt. */
  private boolean verifyRecords(String name, long number, Optional<FileHeader> next)
      throws IOException, UnsupportedFormatException {
    try (FileWindow file = new FileWindow(directory.openInput(name))) {
      long end = next.isPresent() ? next.get().previousBytes() : file.size();
      if (end > file.size()) {
        findings.addCorruptFile(
            RecoveryIssue.of(Cause.SEGMENT_TOO_SHORT, name, file.size(), end - file.size()));
        return false;
      }
      FileVerifier.Verification result = verifier.verify(name, file, number, end);
      if (result.problem().isPresent()) {
        long invalidBytes = end - result.validBytes();
        if (next.isPresent() || result.wasDurable()) {
          findings.addCorruptFile(
              RecoveryIssue.of(result.problem().get(), name, result.validBytes(), invalidBytes));
          return false;
        }
        findings.addIssue(
            RecoveryIssue.of(Cause.TORN_WRITE, name, result.validBytes(), invalidBytes));
      }
      findings.addRecords(result.records());
      segments.add(new LogSegment(number, result.validBytes()));
      return true;
    }
  }

  private RecoveryIssue issueOfWholeFile(Cause cause, String name) throws IOException {
    return RecoveryIssue.of(cause, name, 0, directory.fileSize(name));
  }
}
