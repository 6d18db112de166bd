package rosecleat.takeover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * How the processes of a node share its limits: each writes down what it grants itself. A process
 * may take what no older one has granted itself; one with a newer beside it keeps half of what it
 * has free, and never raises its grant again. So a figure that is read late is on the safe side.
 * What a process that is gone took of the calls below counts on until the span is over that the
 * limit on calls is a mean of: each writes how its own leave it, second by second.
 */
final class PeerLoadReports {
  private static final String LOAD = "load-";
  private static final double SECOND_US = 1_000_000;

  /**
   * Of what it has free, a process beside a newer one grants itself so much while it serves, and
   * while it leaves.
   */
  private static final double SERVING = 0.5;

  private static final double LEAVING = 0.125;

  private record Seen(ResourceAmounts grant, List<Double> calls, long atUs) {}

  private final Path folder;
  private final int number;
  private final Map<Integer, Seen> seen = new HashMap<>();
  private ResourceAmounts grant;

  PeerLoadReports(Path folder, int number) {
    this.folder = folder;
    this.number = number;
  }

  /** Looks at what a live process says. */
  void look(int other, long nowUs) {
    try {
      List<Double> numbers = new ArrayList<>();
      for (String word :
          Files.readString(folder.resolve(LOAD + other), StandardCharsets.US_ASCII).split(" ")) {
        numbers.add(Double.parseDouble(word));
      }
      seen.put(
          other,
          new Seen(
              new ResourceAmounts(numbers.get(0), numbers.get(1), numbers.get(2)),
              List.copyOf(numbers.subList(3, numbers.size())),
              nowUs));
    } catch (IOException | RuntimeException e) {
      Seen before = seen.get(other); // one that has said nothing yet may take all
      seen.put(
          other,
          before == null
              ? new Seen(null, List.of(), nowUs)
              : new Seen(before.grant, before.calls, nowUs));
    }
  }

  /**
   * Grants this process its part, as of the last look.
   *
   * @param whole the limits of the node
   * @param taken what this process takes
   * @param newer whether a newer process lives
   * @param leaving whether this one leaves
   */
  ResourceAmounts grant(
      ResourceAmounts whole, ResourceAmounts taken, boolean newer, boolean leaving, long lookedUs) {
    ResourceAmounts free = whole.less(others(whole, lookedUs));
    if (!newer) {
      grant = free;
    } else {
      ResourceAmounts wish = taken.plus(free.less(taken).times(leaving ? LEAVING : SERVING));
      grant = grant == null ? wish : grant.atMost(wish);
    }
    return grant;
  }

  /** What older processes granted themselves, and what calls of those that are gone still count. */
  private ResourceAmounts others(ResourceAmounts whole, long lookedUs) {
    seen.values()
        .removeIf(s -> s.atUs < lookedUs && (lookedUs - s.atUs) / SECOND_US >= s.calls.size());
    ResourceAmounts sum = ResourceAmounts.NONE;
    for (Map.Entry<Integer, Seen> each : seen.entrySet()) {
      Seen s = each.getValue();
      if (s.atUs < lookedUs) {
        sum =
            sum.plus(
                new ResourceAmounts(s.calls.get((int) ((lookedUs - s.atUs) / SECOND_US)), 0, 0));
      } else if (each.getKey() < number) {
        sum = sum.plus(s.grant == null ? whole : s.grant);
      }
    }
    return sum;
  }

  /** Tells the others what this process granted itself, and how its calls leave their span. */
  void tell(List<Double> calls) throws IOException {
    Path scratch = folder.resolve("scratch-" + LOAD + number);
    Files.writeString(
        scratch,
        grant.calls()
            + " "
            + grant.memoryKb()
            + " "
            + grant.running()
            + " "
            + calls.stream().map(String::valueOf).collect(Collectors.joining(" ")));
    Files.move(scratch, folder.resolve(LOAD + number), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Takes away the file of a process that is dead. */
  void remove(int dead) throws IOException {
    Files.deleteIfExists(folder.resolve(LOAD + dead));
  }
}
