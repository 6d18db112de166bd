package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import rosecleat.net.LineBuffer;

/**
 * An incremental parser of the HTTP response of a uwsgi service. Skips interim responses (1xx)
 * except 101, which it rejects. The body ends after the number of bytes that {@code Content-Length}
 * states, or at the end of the stream if that header is absent.
 */
final class HttpResponseParser {
  private static final int MAX_HEAD_BYTES = 16 << 10;
  private static final String TOKEN = "[0-9A-Za-z!#$%&'*+.^_`|~-]+";
  private static final String STATUS_HEADER = "status:";
  private static final String CONTENT_LENGTH_HEADER = "content-length:";
  private static final String TRANSFER_ENCODING_HEADER = "transfer-encoding:";
  private static final int DELETE = 127;
  private static final int SWITCHING_PROTOCOLS = 101;

  /** The value of the content length while no header has stated it. */
  private static final long UNKNOWN_LENGTH = -1;

  private final int maxBodyBytes;
  private final LineBuffer lines = new LineBuffer(MAX_HEAD_BYTES);
  private final List<ServiceResponse.Header> headers = new ArrayList<>();
  private int status;
  private long contentLength = UNKNOWN_LENGTH;
  private boolean headComplete;
  private int headBytes;
  private byte[] body = new byte[0];
  private int bodyBytes;

  /** Creates a parser that accepts bodies of at most {@code maxBodyBytes}. */
  HttpResponseParser(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Consumes the input.
   *
   * @return false if the response is malformed or too long; the parser is then unusable
   */
  boolean feed(ByteBuffer input) {
    while (!headComplete && input.hasRemaining()) {
      // The head is read byte by byte, because the bytes of the body must stay in the input.
      lines.append(ByteBuffer.wrap(new byte[] {input.get()}));
      headBytes++;
      if (headBytes > MAX_HEAD_BYTES) {
        return false;
      }
      String line = lines.readLine();
      if (line != null && !parseHeadLine(line)) {
        return false;
      }
    }
    return !input.hasRemaining() || readBody(input);
  }

  /**
   * Returns whether the response is complete.
   *
   * @param endOfStream whether the service has closed its side of the connection
   */
  boolean isComplete(boolean endOfStream) {
    if (!headComplete) {
      return false;
    }
    if (ServiceResponse.isBodiless(status)) {
      return true;
    }
    return contentLength == UNKNOWN_LENGTH ? endOfStream : bodyBytes == contentLength;
  }

  /** Returns the response; to be called once it is complete. */
  ServiceResponse response() {
    return ServiceResponse.endToEnd(status, headers, Arrays.copyOf(body, bodyBytes));
  }

  private boolean readBody(ByteBuffer input) {
    int count = input.remaining();
    int total = bodyBytes + count;
    boolean tooLong =
        total > maxBodyBytes || (contentLength != UNKNOWN_LENGTH && total > contentLength);
    if (tooLong || ServiceResponse.isBodiless(status)) {
      return false;
    }
    if (total > body.length) {
      body = Arrays.copyOf(body, Math.min(maxBodyBytes, Math.max(total, 2 * body.length)));
    }
    input.get(body, bodyBytes, count);
    bodyBytes = total;
    return true;
  }

  private boolean parseHeadLine(String line) {
    if (line.isEmpty()) {
      return endHead();
    }
    if (line.chars().anyMatch(HttpResponseParser::isControl)) {
      return false; // a client could interpret a control character as the end of the line
    }
    String lowerCase = line.toLowerCase(Locale.ROOT);
    if (lowerCase.startsWith("http/1.") && status == 0) {
      return parseStatus(line.split(" "), 1);
    }
    if (lowerCase.startsWith(STATUS_HEADER)) { // CGI sends the status as a header
      return parseStatus(line.substring(STATUS_HEADER.length()).trim().split(" "), 0);
    }
    if (lowerCase.startsWith(CONTENT_LENGTH_HEADER)
        && !parseContentLength(lowerCase.substring(CONTENT_LENGTH_HEADER.length()).trim())) {
      return false;
    }
    int colon = line.indexOf(':');
    if (lowerCase.startsWith(TRANSFER_ENCODING_HEADER)
        || !line.substring(0, Math.max(0, colon)).matches(TOKEN)) {
      return false;
    }
    headers.add(
        new ServiceResponse.Header(line.substring(0, colon), line.substring(colon + 1).trim()));
    return true;
  }

  private static boolean isControl(int character) {
    return (character < ' ' && character != '\t') || character == DELETE;
  }

  private boolean endHead() {
    boolean interim = status >= 100 && status < 200 && status != SWITCHING_PROTOCOLS;
    if (interim) {
      status = 0;
      contentLength = UNKNOWN_LENGTH;
      headers.clear();
      return true;
    }
    headComplete = true;
    return status >= 200 && contentLength <= maxBodyBytes;
  }

  private boolean parseStatus(String[] words, int index) {
    if (words.length <= index || !words[index].matches("[1-5][0-9][0-9]")) {
      return false;
    }
    status = Integer.parseInt(words[index]);
    return true;
  }

  private boolean parseContentLength(String value) {
    if (contentLength != UNKNOWN_LENGTH || !value.matches("[0-9]{1,12}")) {
      return false;
    }
    contentLength = Long.parseLong(value);
    return true;
  }
}
