package rosecleat.takeover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Division of one node's limits between two processes. */
class PeerLoadReportsTest {
  private static final ResourceAmounts LIMITS = new ResourceAmounts(10, 1_000, 100);

  @TempDir Path folder;

  /**
   * Guards against overloading the shared index: calls of a process that has ended are still within
   * the window over which calls are counted.
   */
  @Test
  void callsOfEndedProcessCountUntilTheirWindowIsOver() throws IOException {
    PeerLoadReports predecessor = new PeerLoadReports(folder, 1);
    PeerLoadReports successor = new PeerLoadReports(folder, 2);
    successor.read(1, 1);
    // the predecessor may use all limits until it has reported
    assertEquals(
        ResourceAmounts.NONE, successor.grant(LIMITS, ResourceAmounts.NONE, false, false, 1));
    assertEquals(
        new ResourceAmounts(9, 600, 60),
        predecessor.grant(LIMITS, new ResourceAmounts(8, 200, 20), true, false, 1));
    predecessor.write(List.of(8.0, 8.0, 7.5, 0.0));
    successor.read(1, 2);
    assertEquals(
        new ResourceAmounts(1, 400, 40),
        successor.grant(LIMITS, ResourceAmounts.NONE, false, false, 2));
    // the predecessor has ended
    assertEquals(
        new ResourceAmounts(2, 1_000, 100),
        successor.grant(LIMITS, ResourceAmounts.NONE, false, false, 1_500_000));
    assertEquals(
        new ResourceAmounts(2.5, 1_000, 100),
        successor.grant(LIMITS, ResourceAmounts.NONE, false, false, 2_900_000));
    assertEquals(LIMITS, successor.grant(LIMITS, ResourceAmounts.NONE, false, false, 4_100_000));
  }

  /**
   * The usage of both processes together stays within the limits, however late reports are read and
   * even if each process uses its whole grant at once.
   */
  @Property(tries = 200, seed = "20261203")
  void usageOfBothProcessesStaysWithinLimits(
      @ForAll @Size(max = 40) List<@IntRange(max = 5) Integer> steps,
      @ForAll @IntRange(max = 10) int initialCalls)
      throws IOException {
    Path shared = Files.createTempDirectory("loads");
    PeerLoadReports first = new PeerLoadReports(shared, 1);
    PeerLoadReports second = new PeerLoadReports(shared, 2);
    double firstCalls = initialCalls;
    double secondCalls = 0;
    double firstGrant = LIMITS.calls();
    double secondGrant = 0;
    long now = 0;
    for (int step : steps) {
      now++;
      switch (step) {
        case 0 ->
            firstGrant =
                first
                    .grant(LIMITS, new ResourceAmounts(firstCalls, 0, 0), true, false, now)
                    .calls();
        case 1 -> {
          firstGrant =
              first.grant(LIMITS, new ResourceAmounts(firstCalls, 0, 0), true, true, now).calls();
          first.write(List.of(firstCalls));
        }
        case 2 -> {
          second.read(1, now);
          secondGrant =
              second
                  .grant(LIMITS, new ResourceAmounts(secondCalls, 0, 0), false, false, now)
                  .calls();
        }
        case 3 -> firstCalls = Math.max(firstCalls, firstGrant);
        case 4 -> secondCalls = Math.max(secondCalls, secondGrant);
        default -> firstCalls /= 2;
      }
      assertTrue(
          firstCalls + secondCalls <= LIMITS.calls() + 1e-9, firstCalls + " and " + secondCalls);
    }
    Files.deleteIfExists(shared.resolve("load-1"));
    Files.delete(shared);
  }
}
