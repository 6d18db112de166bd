package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds the head of an HTTP response: its status line, its headers and an empty line. */
final class ResponseHead {
  private final StringBuilder text = new StringBuilder();

  /** Starts a head with the status line. */
  ResponseHead(int status) {
    text.append("HTTP/1.1 ")
        .append(status)
        .append(' ')
        .append(ReasonPhrases.of(status))
        .append("\r\n");
  }

  /** Appends a header. */
  ResponseHead header(String name, String value) {
    text.append(name).append(": ").append(value).append("\r\n");
    return this;
  }

  /** Appends the header with the length of the body, in bytes. */
  ResponseHead contentLength(int length) {
    return header("Content-Length", Integer.toString(length));
  }

  /** Appends the empty line that ends the head, and encodes the head. */
  ByteBuffer encode() {
    return ByteBuffer.wrap(text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
  }
}
