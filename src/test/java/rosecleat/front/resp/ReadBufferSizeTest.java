package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The size of the read buffers, by the heap's size in MiB and the number of connections. */
class ReadBufferSizeTest {
  /** Guards a small heap from the read buffers of many connections. */
  @ParameterizedTest
  @CsvSource({"12, 28", "12, 960", "40, 448", "40, 960", "40, 4000"})
  void readBuffersTogetherTakeAtMostAnEighthOfTheHeap(long heapMib, int maxConnections) {
    int bytes = readBufferBytes(heapMib, maxConnections);
    assertTrue(
        (long) bytes * maxConnections <= (heapMib << 20) / 8,
        heapMib + " " + maxConnections + ": " + bytes);
  }

  @ParameterizedTest
  @CsvSource({"40, 1, 8192", "12, 60000, 1024"})
  void readBufferSizeHasLowerAndUpperBounds(long heapMib, int maxConnections, int expectedBytes) {
    assertEquals(expectedBytes, readBufferBytes(heapMib, maxConnections));
  }

  private static int readBufferBytes(long heapMib, int maxConnections) {
    return RespFrontend.connectionLimits(heapMib << 20, maxConnections).readBufferBytes();
  }
}
