package rosecleat.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** An owner that keeps lines of text; "=N" forgets all but the last N. */
final class Texts implements Owner {
  static final int TYPE = 7;
  int newest = 1;

  static Entry entry(String text) {
    return new Entry(TYPE, 1, text.getBytes(StandardCharsets.UTF_8));
  }

  static List<String> of(Recovered found) {
    return ((Lines) found.fold()).lines;
  }

  @Override
  public int reads(int type) {
    return type == TYPE ? newest : 0;
  }

  @Override
  public Fold fold() {
    return new Lines();
  }

  static final class Lines implements Fold {
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
    public void add(Entry entry) {
      add(new String(entry.payload(), StandardCharsets.UTF_8));
    }

    @Override
    public void forEach(Consumer<Entry> taker) {
      lines.forEach(line -> taker.accept(entry(line)));
    }
  }
}
