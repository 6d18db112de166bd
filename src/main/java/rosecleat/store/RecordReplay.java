package rosecleat.store;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * Applies the records of verified files to a state machine in the order in which they were written.
 */
final class RecordReplay {
  private RecordReplay() {}

  /**
   * Replays a snapshot (0 for none) and the log segments that follow it; fails if a record that was
   * verified before is no longer readable.
   */
  static void replay(
      Directory directory, long snapshot, List<LogSegment> segments, StateMachine state)
      throws IOException {
    if (snapshot > 0) {
      replayFile(directory, FileNames.snapshot(snapshot), snapshot, Long.MAX_VALUE, state);
    }
    for (LogSegment segment : segments) {
      replayFile(directory, segment.fileName(), segment.number(), segment.validBytes(), state);
    }
  }

  private static void replayFile(
      Directory directory, String name, long number, long validBytes, StateMachine state)
      throws IOException {
    try (FileWindow file = new FileWindow(directory.openInput(name))) {
      long offset = FileHeader.BYTES;
      long end = Math.min(validBytes, file.size());
      while (offset < end) {
        Optional<RecordFormat.Decoded> decoded = RecordFormat.decode(file, number, offset);
        if (decoded.isEmpty()) {
          throw new IOException(
              name + " at byte " + offset + ": verified record is no longer readable");
        }
        if (decoded.get().record().isApplicationRecord()) {
          state.apply(decoded.get().record());
        }
        offset = decoded.get().nextOffset();
      }
    }
  }
}
