package rosecleat.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The HTTP request parser, without a connection. */
class HttpRequestParserTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Optional<HttpRequestError> errorOf(String text) {
    HttpRequestParser parser = new HttpRequestParser();
    assertTrue(parser.feed(ByteBuffer.wrap(bytes(text))));
    return parser.error();
  }

  /** The parsed request does not depend on how its bytes are split into reads. */
  @Property(tries = 200, seed = "20261201")
  void splittingTheInputDoesNotChangeTheRequest(
      @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 40) Integer> lengths) {
    byte[] text =
        bytes("PUT /v1/card-node/drain HTTP/1.1\r\nHost: here\r\nContent-Length: 5\r\n\r\nabcde");
    HttpRequestParser parser = new HttpRequestParser();
    int position = 0;
    for (int length : lengths) {
      int end = Math.min(text.length, position + length);
      boolean complete = parser.feed(ByteBuffer.wrap(text, position, end - position));
      position = end;
      assertEquals(position == text.length, complete);
      if (complete) {
        return;
      }
    }
    assertTrue(parser.feed(ByteBuffer.wrap(text, position, text.length - position)));
    assertEquals(Optional.empty(), parser.error());
    assertEquals(new HttpRequest("PUT", "/v1/card-node/drain"), parser.request());
  }

  @Test
  void inputIsDetectedFromFirstByteAndNoErrorIsReportedBeforeLineEnd() {
    HttpRequestParser parser = new HttpRequestParser();
    assertFalse(parser.hasInput());
    assertFalse(parser.feed(ByteBuffer.wrap(bytes("g"))));
    assertTrue(parser.hasInput());
    assertEquals(Optional.empty(), parser.error());
  }

  @Test
  void invalidRequestReportsItsErrorKind() {
    assertEquals(
        Optional.of(HttpRequestError.MALFORMED_REQUEST_LINE), errorOf("get / HTTP/1.1\r\n"));
    assertEquals(Optional.of(HttpRequestError.UNSUPPORTED_VERSION), errorOf("GET / HTTP/1.0\r\n"));
    assertEquals(
        Optional.of(HttpRequestError.MALFORMED_HEADER), errorOf("GET / HTTP/1.1\r\nHost : a\r\n"));
    assertEquals(Optional.of(HttpRequestError.MISSING_HOST), errorOf("GET / HTTP/1.1\r\n\r\n"));
    assertEquals(
        Optional.of(HttpRequestError.MALFORMED_CONTENT_LENGTH),
        errorOf("GET / HTTP/1.1\r\nContent-Length: x\r\n"));
    assertEquals(
        Optional.of(HttpRequestError.BODY_TOO_LARGE),
        errorOf("GET / HTTP/1.1\r\nContent-Length: 4097\r\n"));
    assertEquals(
        Optional.of(HttpRequestError.TRANSFER_ENCODING),
        errorOf("GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n"));
    assertEquals(
        Optional.of(HttpRequestError.REQUEST_TOO_LARGE),
        errorOf("GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(64)));
  }
}
