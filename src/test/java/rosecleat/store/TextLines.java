package rosecleat.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A state machine whose records are lines of text; the line "=N" removes all but the last N. */
final class TextLines implements StateMachineFactory {
  static final int TYPE = 7;
  int supportedVersion = 1;

  static StoredRecord record(String text) {
    return new StoredRecord(TYPE, 1, text.getBytes(StandardCharsets.UTF_8));
  }

  static List<String> of(RecoveryReport found) {
    return ((Lines) found.state()).lines;
  }

  @Override
  public int maxVersion(int type) {
    return type == TYPE ? supportedVersion : 0;
  }

  @Override
  public StateMachine newStateMachine() {
    return new Lines();
  }

  static final class Lines implements StateMachine {
    final List<String> lines = new ArrayList<>();

    void add(String line) {
      if (line.startsWith("=")) {
        int keep = Integer.parseInt(line.substring(1));
        lines.subList(0, Math.max(0, lines.size() - keep)).clear();
      } else {
        lines.add(line);
      }
    }

    @Override
    public void apply(StoredRecord record) {
      add(new String(record.payload(), StandardCharsets.UTF_8));
    }

    @Override
    public void writeSnapshot(Consumer<StoredRecord> output) {
      lines.forEach(line -> output.accept(record(line)));
    }
  }
}
