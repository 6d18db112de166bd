package rosecleat.index;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rosecleat.core.CallResult;

class ReplyParserTest {
  private static final String ID = "00000000000000a1";

  private final ReplyParser parser = new ReplyParser();

  private void append(String text) {
    parser.append(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Test
  void hitIsReturnedOnceItsBodyIsComplete() {
    append(ID + " HIT 3\r\nab");
    assertTrue(parser.next().isEmpty());
    append("c\r\n");
    ReplyParser.Reply reply = parser.next().orElseThrow();
    assertEquals(ID, reply.id());
    assertEquals(CallResult.OK, reply.result());
    assertArrayEquals(new byte[] {'a', 'b', 'c'}, reply.body());
    assertTrue(parser.next().isEmpty());
    assertFalse(parser.malformed());
  }

  @ParameterizedTest
  @CsvSource({"SHED,REJECTED", "NOBODY,UNREACHABLE", "BROKEN,FAILED", "SLOW,TIMED_OUT"})
  void otherRepliesHaveNoBody(String word, CallResult result) {
    append(ID + " " + word + "\r\n" + ID + " " + word + "\r\n");
    assertEquals(new ReplyParser.Reply(ID, result, null), parser.next().orElseThrow());
    assertEquals(new ReplyParser.Reply(ID, result, null), parser.next().orElseThrow());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "00000000000000A1 SHED\r\n",
        "a1 SHED\r\n",
        ID + " LOST\r\n",
        ID + " SHED \r\n",
        ID + " HIT\r\n",
        ID + " HIT -1\r\n",
        ID + " HIT 65537\r\n",
        ID + " HIT 1\r\nabc",
        "00000000000000000000000000000000000000000000000000000000000000000"
      })
  void nothingIsParsedAfterMalformedReply(String text) {
    append(text);
    assertTrue(parser.next().isEmpty());
    assertTrue(parser.malformed());
    append("\r\n" + ID + " SHED\r\n");
    assertTrue(parser.next().isEmpty());
  }
}
