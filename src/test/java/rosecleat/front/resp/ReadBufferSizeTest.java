package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosecleat.net.ClientMemory;

/** The size of read buffers, given the size of the heap in MiB and the number of connections. */
class ReadBufferSizeTest {
  /** The read buffers of many connections must not fill a small heap. */
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
    return new ClientMemory(heapMib << 20, maxConnections).readBufferBytes();
  }
}
