package rosecleat.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosecleat.registry.HttpResponseParser.Result;

class HttpResponseParserTest {
  private final HttpResponseParser parser = new HttpResponseParser();

  private Result parse(String text) {
    assertTrue(parser.append(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII))));
    return parser.parse();
  }

  @Test
  void responseIsCompleteOnceItsBodyHasArrived() {
    assertEquals(Result.INCOMPLETE, parse("HTTP/1.1 503 Busy\r\nContent-"));
    assertEquals(Result.INCOMPLETE, parse("Length: 3\r\n\r\nab"));
    assertEquals(Result.COMPLETE, parse("c"));
    assertEquals(503, parser.status());
    assertFalse(parser.connectionCloses());
  }

  @Test
  void interimResponsesAreSkipped() {
    assertEquals(
        Result.COMPLETE,
        parse("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"));
    assertEquals(204, parser.status());
  }

  @Test
  void connectionCloseIsReportedAndClearedByReset() {
    assertEquals(Result.COMPLETE, parse("HTTP/1.1 204 x\r\nCONNECTION: Close\r\n\r\n"));
    assertTrue(parser.connectionCloses());
    parser.reset();
    assertEquals(Result.COMPLETE, parse("HTTP/1.1 204 x\r\n\r\n"));
    assertFalse(parser.connectionCloses());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n",
        "SSH-2.0\r\n",
        "HTTP/2 204\r\n",
        "HTTP/1.1 600 x\r\n",
        "HTTP/1.1 204 x\r\nContent-Length: -1\r\n",
        "HTTP/1.1 204 x\r\nContent-Length: 10000\r\n"
      })
  void malformedResponseIsRejected(String text) {
    assertEquals(Result.MALFORMED, parse(text));
  }
}
