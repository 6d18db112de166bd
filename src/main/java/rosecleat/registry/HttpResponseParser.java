package rosecleat.registry;

import java.nio.ByteBuffer;
import java.util.Locale;
import rosecleat.net.LineBuffer;

/**
 * Parses the parts of the HTTP/1.1 responses of one connection that the registry client needs: the
 * status, a body of stated length, which is skipped, and whether the connection closes. Interim
 * responses (1xx) are skipped. Used on the event loop only.
 */
final class HttpResponseParser {
  /** The state of the response after {@link #parse}. */
  enum Result {
    /** More bytes are needed. */
    INCOMPLETE,
    /** A final response is complete. */
    COMPLETE,
    /** The bytes are not valid HTTP. */
    MALFORMED
  }

  private static final int MAX_BUFFERED_BYTES = 16 << 10;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final String CONTENT_LENGTH = "content-length:";
  private static final String CONNECTION = "connection:";

  private final LineBuffer lines = new LineBuffer(MAX_BUFFERED_BYTES);

  /** The response's status; 0 until the status line is parsed. */
  private int status;

  private int contentLength;
  private boolean headComplete;
  private boolean connectionCloses;

  /** Appends received bytes; returns false if the buffer limit is exceeded. */
  boolean append(ByteBuffer bytes) {
    return lines.append(bytes) && !lines.lineTooLong();
  }

  /** Starts a new response; bytes already buffered belong to it. */
  void reset() {
    status = 0;
    contentLength = 0;
    headComplete = false;
    connectionCloses = false;
  }

  /** Parses the buffered bytes of the current response. */
  Result parse() {
    while (!headComplete) {
      String line = lines.readLine();
      if (line == null) {
        return Result.INCOMPLETE;
      }
      if (!parseHeadLine(line.trim())) {
        return Result.MALFORMED;
      }
    }
    return lines.readBlock(contentLength) == null ? Result.INCOMPLETE : Result.COMPLETE;
  }

  /** Returns the status of a complete response. */
  int status() {
    return status;
  }

  /** Returns whether the peer closes the connection after the response. */
  boolean connectionCloses() {
    return connectionCloses;
  }

  private boolean parseHeadLine(String line) {
    if (status == 0) {
      return parseStatusLine(line);
    }
    if (line.isEmpty()) {
      endHead();
      return true;
    }
    return parseHeader(line.toLowerCase(Locale.ROOT));
  }

  private boolean parseStatusLine(String line) {
    String[] words = line.split(" ");
    if (words.length < 2
        || !words[0].startsWith("HTTP/1.")
        || !words[1].matches("[1-5][0-9][0-9]")) {
      return false;
    }
    status = Integer.parseInt(words[1]);
    return true;
  }

  private void endHead() {
    if (status < FIRST_FINAL_STATUS) {
      reset(); // an interim response: the final one follows
    } else {
      headComplete = true;
    }
  }

  private boolean parseHeader(String lowerCaseLine) {
    if (lowerCaseLine.startsWith(CONTENT_LENGTH)) {
      String length = lowerCaseLine.substring(CONTENT_LENGTH.length()).trim();
      if (!length.matches("[0-9]{1,4}")) {
        return false;
      }
      contentLength = Integer.parseInt(length);
    } else if (lowerCaseLine.startsWith(CONNECTION) && lowerCaseLine.contains("close")) {
      connectionCloses = true;
    }
    return true;
  }
}
