package rosecleat.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class LineBufferTest {
  private final LineBuffer buffer = new LineBuffer(8);

  private boolean append(String text) {
    return buffer.append(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Test
  void linesEndWithLineFeedOrCarriageReturnLineFeed() {
    append("a\r\nb\n\n");
    assertEquals("a", buffer.readLine());
    assertEquals("b", buffer.readLine());
    assertEquals("", buffer.readLine());
    assertNull(buffer.readLine());
  }

  @Test
  void fragmentsAreJoined() {
    append("on");
    assertNull(buffer.readLine());
    append("e\r");
    assertNull(buffer.readLine());
    append("\ntw");
    assertEquals("one", buffer.readLine());
    assertEquals(2, buffer.size());
  }

  @Test
  void blockIsReadOnceItIsComplete() {
    append("123");
    assertNull(buffer.readBlock(4));
    append("45");
    assertArrayEquals(new byte[] {'1', '2', '3', '4'}, buffer.readBlock(4));
    assertEquals(1, buffer.size());
  }

  @Test
  void lineBeyondMaximumLengthIsTooLong() {
    append("12345678");
    assertFalse(buffer.lineTooLong());
    append("9");
    assertTrue(buffer.lineTooLong());
  }

  @Test
  void appendBeyondMaximumPlusInputCapacityIsRejected() {
    assertTrue(append("12345678"));
    assertTrue(append("1234")); // 12 buffered bytes: the maximum of 8 plus the input's 4
    assertFalse(append("1234")); // would be 16 bytes
    assertEquals(12, buffer.size());
  }
}
