package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadBuffersTest {
  /**
   * Guards a small heap against the read buffers of as many connections as its descriptors allow
   * (MiB of heap).
   */
  @ParameterizedTest
  @CsvSource({"12, 28", "12, 960", "40, 448", "40, 960", "40, 4000"})
  void fitIntoAPartOfTheHeap(long heap, int most) {
    int read = RespFrontend.connectionLimits(heap << 20, most).readBufferBytes();
    assertTrue((long) read * most <= (heap << 20) / 8, heap + " " + most + ": " + read);
  }

  @ParameterizedTest
  @CsvSource({"40, 1, 8192", "12, 60000, 1024"})
  void areNeitherLargerThanUsefulNorTooSmall(long heap, int most, int bytes) {
    assertEquals(bytes, RespFrontend.connectionLimits(heap << 20, most).readBufferBytes());
  }
}
