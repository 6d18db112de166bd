package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import rosecleat.front.resp.RespProtocolException.Kind;

class RespParserTest {
  private static final int MAX_STRING_BYTES = 8;

  private final RespParser parser = new RespParser(MAX_STRING_BYTES);

  private Optional<RespMessage> parse(String text) throws RespProtocolException {
    return parser.next(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static Kind errorOf(String text) {
    RespParserTest fresh = new RespParserTest();
    return assertThrows(RespProtocolException.class, () -> fresh.parse(text)).kind();
  }

  @Test
  void messageReceivedByteByByteIsParsedOnce() throws RespProtocolException {
    List<RespMessage> messages = new ArrayList<>();
    for (String character : "*2\r\n$2\r\nDO\r\n$0\r\n\r\n".split("")) {
      assertTrue(messages.isEmpty());
      parse(character).ifPresent(messages::add);
    }
    assertEquals(1, messages.size());
    assertEquals("DO", messages.get(0).text(0));
    assertEquals("", messages.get(0).text(1));
    assertFalse(parser.isMidMessage());
  }

  @Test
  void stringOverLimitIsAbsentAndRestIsParsed() throws RespProtocolException {
    RespMessage message = parse("*2\r\n$9\r\n123456789\r\n$1\r\nx\r\n").orElseThrow();
    assertFalse(message.has(0));
    assertEquals("", message.text(0));
    assertTrue(message.has(1));
    assertEquals("x", message.text(1));
    assertFalse(message.has(2));
  }

  @Test
  void partialHeaderCountsAsIncompleteMessage() throws RespProtocolException {
    assertFalse(parser.isMidMessage());
    assertEquals(Optional.empty(), parse("*"));
    assertTrue(parser.isMidMessage());
  }

  @Test
  void malformedInputReportsItsErrorKind() {
    assertEquals(Kind.EMPTY_ARRAY, errorOf("*0\r\n"));
    assertEquals(Kind.HEADER_TOO_LONG, errorOf("*" + "1".repeat(30)));
    assertEquals(Kind.MALFORMED_HEADER, errorOf("GET / HTTP/1.1\r\n"));
    assertEquals(Kind.MALFORMED_HEADER, errorOf("*1\n"));
    assertEquals(Kind.MALFORMED_HEADER, errorOf("*1\r\n$-1\r\n"));
    assertEquals(Kind.LENGTH_TOO_LARGE, errorOf("*9\r\n"));
    assertEquals(Kind.LENGTH_TOO_LARGE, errorOf("*1\r\n$16777217\r\n"));
    assertEquals(Kind.UNTERMINATED_STRING, errorOf("*1\r\n$1\r\nxy\r\n"));
  }
}
