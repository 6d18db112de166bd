package rosecleat.front.uwsgi;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import rosecleat.front.uwsgi.RequestError.Kind;

class UwsgiRequestParserTest {
  private static final int MAX_VARS_BYTES = 100;
  private static final int MAX_BODY_BYTES = 10;

  private final UwsgiRequestParser parser = new UwsgiRequestParser(MAX_VARS_BYTES, MAX_BODY_BYTES);

  private static ByteBuffer encode(Map<String, String> vars, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return new UwsgiPacket(UwsgiPacket.MODIFIER_REQUEST, 0, vars, bytes).encode().orElseThrow();
  }

  private static Optional<Kind> errorOf(ByteBuffer input) {
    UwsgiRequestParser parser = new UwsgiRequestParser(MAX_VARS_BYTES, MAX_BODY_BYTES);
    assertTrue(parser.feed(input));
    return parser.error().map(RequestError::kind);
  }

  private static Optional<Kind> errorOfLength(String contentLength) {
    return errorOf(encode(Map.of("CONTENT_LENGTH", contentLength), ""));
  }

  private static ByteBuffer bytes(int... values) {
    ByteBuffer buffer = ByteBuffer.allocate(values.length);
    for (int value : values) {
      buffer.put((byte) value);
    }
    return buffer.flip();
  }

  @Test
  void requestReceivedByteByByteIsCompleteAtItsLastByte() {
    ByteBuffer input = encode(Map.of("CONTENT_LENGTH", "3", "REQUEST_METHOD", "PUT"), "abc");
    assertFalse(parser.hasInput());
    while (input.remaining() > 1) {
      assertFalse(parser.feed(bytes(input.get())));
      assertTrue(parser.hasInput());
    }
    assertTrue(parser.feed(input));
    assertEquals(Optional.empty(), parser.error());
    assertEquals("PUT", parser.packet().var("REQUEST_METHOD"));
    assertArrayEquals("abc".getBytes(StandardCharsets.UTF_8), parser.packet().body());
  }

  @Test
  void pingIsCompleteAfterItsHeader() {
    assertTrue(parser.feed(bytes(UwsgiPacket.MODIFIER_PING, 0, 0, 0)));
    assertEquals(UwsgiPacket.MODIFIER_PING, parser.packet().modifier1());
  }

  @Test
  void invalidRequestYieldsTheErrorOfItsKind() {
    assertEquals(Optional.of(Kind.UNSUPPORTED_MODIFIER), errorOf(bytes(5, 0, 0, 0)));
    assertEquals(Optional.of(Kind.VARS_TOO_LONG), errorOf(bytes(0, 101, 0, 0)));
    assertEquals(Optional.of(Kind.MALFORMED_VARS), errorOf(bytes(0, 3, 0, 0, 9, 0, 'a')));
    assertEquals(Optional.of(Kind.MALFORMED_VARS), errorOf(bytes(0, 3, 0, 0, 1, 0, 'a')));
    assertEquals(Optional.of(Kind.MALFORMED_VARS), errorOf(bytes(0, 4, 0, 0, 0, 0, 0, 0)));
    assertEquals(
        Optional.of(Kind.CONFLICTING_VARS),
        errorOf(bytes(0, 12, 0, 0, 1, 0, 'a', 1, 0, 'x', 1, 0, 'a', 1, 0, 'y')));
    assertEquals(
        Optional.empty(), errorOf(bytes(0, 12, 0, 0, 1, 0, 'a', 1, 0, 'x', 1, 0, 'a', 1, 0, 'x')));
    assertEquals(Optional.of(Kind.MALFORMED_CONTENT_LENGTH), errorOfLength("-1"));
    assertEquals(Optional.of(Kind.BODY_TOO_LONG), errorOfLength("11"));
  }
}
