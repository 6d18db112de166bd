package rosecleat.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;

/**
 * What the processes of a node take of the limits they share, a file each. What one that is gone took of the calls below
 * counts on and fades over the span that the limit on calls is a mean of.
 */
final class Loads {
  private static final String LOAD = "load-";

  private record Seen(Load load, long atUs) { }

  private final Path folder;
  private final int number;
  private final Map<Integer, Seen> seen = new HashMap<>();

  Loads(Path folder, int number) {
    this.folder = folder;
    this.number = number;
  }

  /** Tells the others what this process takes. */
  void tell(Load own) throws IOException {
    Path scratch = folder.resolve("scratch-" + LOAD + number);
    Files.writeString(scratch, own.calls() + " " + own.memoryKb() + " " + own.running());
    Files.move(scratch, folder.resolve(LOAD + number), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Looks at what a live process says; one that has said nothing yet takes nothing. */
  void look(int other, long nowUs) {
    try {
      String[] words = Files.readString(folder.resolve(LOAD + other), StandardCharsets.US_ASCII).split(" ");
      seen.put(other, new Seen(new Load(Double.parseDouble(words[0]), Double.parseDouble(words[1]),
          Double.parseDouble(words[2])), nowUs));
    } catch (IOException | RuntimeException e) {
      seen.putIfAbsent(other, new Seen(Load.NONE, nowUs));
    }
  }

  /** What the others take; those not looked at just now are gone. */
  Load others(long nowUs, long spanUs) {
    seen.values().removeIf(s -> s.atUs < nowUs && nowUs - s.atUs >= spanUs);
    Load sum = Load.NONE;
    for (Seen s : seen.values()) {
      sum = sum.plus(s.atUs == nowUs ? s.load
          : new Load(s.load.calls() * (1 - (double) (nowUs - s.atUs) / spanUs), 0, 0));
    }
    return sum;
  }

  /** Takes away the file of a process that is dead. */
  void remove(int dead) throws IOException {
    Files.deleteIfExists(folder.resolve(LOAD + dead));
  }
}
