package rosecleat.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What two processes take of one limit. */
class LoadsTest {
  private static final long SPAN_US = 5_000_000;

  @TempDir Path folder;

  /** Guards the shared index: what a process that is gone took is still in the span over which calls are counted. */
  @Test void whatAProcessTookFadesOverTheSpanAfterItIsGone() throws IOException {
    Loads old = new Loads(folder, 1);
    Loads fresh = new Loads(folder, 2);
    fresh.look(1, 0);
    assertEquals(Load.NONE, fresh.others(0, SPAN_US)); // it has said nothing yet
    old.tell(new Load(8, 1_000, 20));
    fresh.look(1, 1_000_000);
    assertEquals(new Load(8, 1_000, 20), fresh.others(1_000_000, SPAN_US));
    assertEquals(new Load(6, 0, 0), fresh.others(2_250_000, SPAN_US)); // not looked at again: it is gone
    assertEquals(Load.NONE, fresh.others(6_000_000, SPAN_US));
  }

  /** Two that each take all they may, on what they last saw of the other, never come over the whole together. */
  @Property(tries = 300, seed = "20261203") void theSumStaysWithinTheWhole(
      @ForAll @Size(min = 2, max = 2) List<@DoubleRange(max = 50) Double> start,
      @ForAll @Size(max = 40) List<@DoubleRange(max = 1) Double> steps) {
    double a = start.get(0);
    double b = start.get(1);
    for (double step : steps) {
      double mayA = Load.part(a, b, 100);
      double mayB = Load.part(b, a, 100);
      a = step < 0.2 ? a * step : Math.max(a, step * mayA);
      b = Math.max(b, mayB);
      assertTrue(a + b <= 100 + 1e-6, a + " and " + b);
    }
  }
}
