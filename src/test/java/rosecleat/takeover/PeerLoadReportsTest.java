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

/** What two processes may take of the limits of one node. */
class PeerLoadReportsTest {
  private static final ResourceAmounts WHOLE = new ResourceAmounts(10, 1_000, 100);

  @TempDir Path folder;

  /**
   * Guards the shared index: what a process that is gone took is still in the span over which calls
   * are counted.
   */
  @Test
  void callsOfAnEndedProcessCountUntilTheirSpanIsOver() throws IOException {
    PeerLoadReports old = new PeerLoadReports(folder, 1);
    PeerLoadReports fresh = new PeerLoadReports(folder, 2);
    fresh.read(1, 1);
    assertEquals(
        ResourceAmounts.NONE,
        fresh.grant(
            WHOLE, ResourceAmounts.NONE, false, false, 1)); // the old one may take all as yet
    assertEquals(
        new ResourceAmounts(9, 600, 60),
        old.grant(WHOLE, new ResourceAmounts(8, 200, 20), true, false, 1));
    old.write(List.of(8.0, 8.0, 7.5, 0.0));
    fresh.read(1, 2);
    assertEquals(
        new ResourceAmounts(1, 400, 40), fresh.grant(WHOLE, ResourceAmounts.NONE, false, false, 2));
    assertEquals(
        new ResourceAmounts(2, 1_000, 100),
        fresh.grant(WHOLE, ResourceAmounts.NONE, false, false, 1_500_000)); // gone
    assertEquals(
        new ResourceAmounts(2.5, 1_000, 100),
        fresh.grant(WHOLE, ResourceAmounts.NONE, false, false, 2_900_000));
    assertEquals(WHOLE, fresh.grant(WHOLE, ResourceAmounts.NONE, false, false, 4_100_000));
  }

  /**
   * Whatever is read how late, and though each takes all it may at once: together they keep to the
   * whole.
   */
  @Property(tries = 200, seed = "20261203")
  void sumOfAllGrantsStaysWithinTheLimits(
      @ForAll @Size(max = 40) List<@IntRange(max = 5) Integer> steps,
      @ForAll @IntRange(max = 10) int had)
      throws IOException {
    Path shared = Files.createTempDirectory("loads");
    PeerLoadReports old = new PeerLoadReports(shared, 1);
    PeerLoadReports fresh = new PeerLoadReports(shared, 2);
    double a = had;
    double b = 0;
    double mayA = WHOLE.calls();
    double mayB = 0;
    long now = 0;
    for (int step : steps) {
      now++;
      switch (step) {
        case 0 -> mayA = old.grant(WHOLE, new ResourceAmounts(a, 0, 0), true, false, now).calls();
        case 1 -> {
          mayA = old.grant(WHOLE, new ResourceAmounts(a, 0, 0), true, true, now).calls();
          old.write(List.of(a));
        }
        case 2 -> {
          fresh.read(1, now);
          mayB = fresh.grant(WHOLE, new ResourceAmounts(b, 0, 0), false, false, now).calls();
        }
        case 3 -> a = Math.max(a, mayA);
        case 4 -> b = Math.max(b, mayB);
        default -> a /= 2;
      }
      assertTrue(a + b <= WHOLE.calls() + 1e-9, a + " and " + b);
    }
    Files.deleteIfExists(shared.resolve("load-1"));
    Files.delete(shared);
  }
}
