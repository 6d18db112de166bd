package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DescriptorBudgetTest {
  /**
   * Balancers get connections up to half of the limit; a node whose share of the index is large can
   * use the rest for calls.
   */
  @ParameterizedTest
  @CsvSource({
    "1024, 0.2, 960, 32",
    "512, 0.91, 448, 32",
    "1024, 500, 512, 480",
    "128, 500, 64, 32",
    "96, 5, 48, 16",
    "64, 5, 32, 4",
    "32, 5, 12, 4",
    "16, 5, 1, 4",
    "65536, 500, 64504, 1000",
    "1024, 1e12, 512, 480"
  })
  void descriptorsAreDividedAccordingToLimitAndExpectedCalls(
      int sockets, double callsOut, int balancers, int index) {
    assertEquals(
        new DescriptorBudget(balancers, index), DescriptorBudget.of(sockets, 0, callsOut, false));
  }

  @ParameterizedTest
  @CsvSource({"1024, 0", "1024, 13", "512, 77", "64, 13"})
  void twoProcessesTogetherStayWithinTheLimit(int sockets, int others) {
    DescriptorBudget half = DescriptorBudget.of(sockets, others, 500, true);
    assertTrue(
        2 * (half.balancers() + half.index() + others) <= sockets || half.balancers() == 1,
        half.toString());
  }
}
