package rosecleat.admin;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import rosecleat.net.LineBuffer;
import rosecleat.net.TextSyntax;

/**
 * An incremental, strict parser of one HTTP/1.1 request. A body is read and discarded, since no
 * operation needs one.
 */
final class HttpRequestParser {
  /** Most lines of a head: the request line, the header lines and the empty line at the end. */
  private static final int MAX_HEAD_LINES = 64;

  /** Size limit of a line and of the body. */
  private static final int MAX_LINE_OR_BODY_BYTES = 4 << 10;

  private static final int MAX_REQUEST_BYTES = 16 << 10;

  /** A Content-Length with more digits counts as malformed instead of too large. */
  private static final int MAX_CONTENT_LENGTH_DIGITS = 9;

  private final LineBuffer buffer = new LineBuffer(MAX_LINE_OR_BODY_BYTES);
  private HttpRequest request;
  private HttpRequestError error;
  private int receivedBytes;
  private int headLines;
  private int bodyLength;
  private boolean hostSeen;
  private boolean headComplete;

  /** Consumes all of the input; returns true once the request is complete or has proved invalid. */
  boolean feed(ByteBuffer input) {
    receivedBytes += input.remaining();
    if (receivedBytes > MAX_REQUEST_BYTES || !buffer.append(input)) {
      input.position(input.limit());
      return fail(HttpRequestError.REQUEST_TOO_LARGE);
    }
    while (!headComplete) {
      String line = buffer.readLine();
      if (line == null) {
        return buffer.lineTooLong() && fail(HttpRequestError.REQUEST_TOO_LARGE);
      }
      Optional<HttpRequestError> found = parseHeadLine(line);
      if (found.isPresent()) {
        return fail(found.get());
      }
    }
    return bodyLength == 0 || buffer.readBlock(bodyLength) != null;
  }

  /** Returns whether any byte of the request has been received. */
  boolean hasInput() {
    return receivedBytes > 0;
  }

  /** Returns why the request is invalid; empty if no error has been found so far. */
  Optional<HttpRequestError> error() {
    return Optional.ofNullable(error);
  }

  /** Returns the request; valid only after {@link #feed} has returned true without an error. */
  HttpRequest request() {
    return request;
  }

  private boolean fail(HttpRequestError found) {
    error = found;
    return true;
  }

  private Optional<HttpRequestError> parseHeadLine(String line) {
    headLines++;
    if (headLines > MAX_HEAD_LINES) {
      return Optional.of(HttpRequestError.REQUEST_TOO_LARGE);
    }
    if (request == null) {
      return parseRequestLine(line);
    }
    return line.isEmpty() ? endHead() : parseHeader(line);
  }

  private Optional<HttpRequestError> parseRequestLine(String line) {
    String[] parts = line.split(" ", -1);
    if (parts.length != 3 || !parts[0].matches("[A-Z]{1,16}") || !parts[1].startsWith("/")) {
      return Optional.of(HttpRequestError.MALFORMED_REQUEST_LINE);
    }
    request = new HttpRequest(parts[0], parts[1]);
    return parts[2].equals("HTTP/1.1")
        ? Optional.empty()
        : Optional.of(HttpRequestError.UNSUPPORTED_VERSION);
  }

  private Optional<HttpRequestError> parseHeader(String line) {
    int colon = line.indexOf(':');
    // RFC 9112 forbids white space before the colon, since servers that interpret it differently
    // enable request smuggling
    if (colon < 1 || !line.substring(0, colon).matches("[!-9;-~]+")) {
      return Optional.of(HttpRequestError.MALFORMED_HEADER);
    }
    String value = line.substring(colon + 1).trim();
    return switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
      case "host" -> {
        hostSeen = true;
        yield Optional.empty();
      }
      case "transfer-encoding" -> Optional.of(HttpRequestError.TRANSFER_ENCODING);
      case "content-length" -> parseContentLength(value);
      default -> Optional.empty();
    };
  }

  private Optional<HttpRequestError> parseContentLength(String value) {
    long length = TextSyntax.parseNumber(value, MAX_CONTENT_LENGTH_DIGITS);
    if (length < 0) {
      return Optional.of(HttpRequestError.MALFORMED_CONTENT_LENGTH);
    }
    if (length > MAX_LINE_OR_BODY_BYTES) {
      return Optional.of(HttpRequestError.BODY_TOO_LARGE);
    }
    bodyLength = (int) length;
    return Optional.empty();
  }

  private Optional<HttpRequestError> endHead() {
    headComplete = true;
    return hostSeen ? Optional.empty() : Optional.of(HttpRequestError.MISSING_HOST);
  }
}
