package rosecleat.admin;

import java.nio.ByteBuffer;
import java.util.Locale;
import rosecleat.net.LineBuffer;
import rosecleat.net.TextSyntax;

/**
 * One HTTP/1.1 call, read as its bytes come in. Strict: what is no call is a status of its own, and
 * a body is read to its end and thrown away, since no call here needs one.
 */
final class HttpCall {
  /** A head of so many lines, and a line or body of so many bytes, are the most that is read. */
  private static final int MOST_LINES = 64;

  private static final int LONGEST = 4 << 10;
  private static final int MOST_BYTES = 16 << 10;

  private final LineBuffer lines = new LineBuffer(LONGEST);
  private String method;
  private String target;
  private int read;
  private int count;
  private int bodyLength;
  private boolean host;
  private boolean headRead;
  private int wrong;

  /** Takes bytes; true once the call is whole, or can be answered because it is wrong. */
  boolean take(ByteBuffer bytes) {
    read += bytes.remaining();
    if (read > MOST_BYTES || !lines.append(bytes)) {
      bytes.position(bytes.limit());
      return wrong(431);
    }
    while (!headRead) {
      String line = lines.readLine();
      if (line == null) {
        return lines.lineTooLong() && wrong(431);
      }
      wrong =
          ++count > MOST_LINES
              ? 431
              : method == null ? start(line) : line.isEmpty() ? end() : field(line);
      if (wrong != 0) {
        return true;
      }
    }
    return bodyLength == 0 || lines.readBlock(bodyLength) != null;
  }

  private boolean wrong(int status) {
    wrong = status;
    return true;
  }

  private int start(String line) {
    String[] words = line.split(" ", -1);
    if (words.length != 3 || !words[0].matches("[A-Z]{1,16}") || !words[1].startsWith("/")) {
      return 400;
    }
    method = words[0];
    target = words[1];
    return words[2].equals("HTTP/1.1") ? 0 : 505;
  }

  private int field(String line) {
    int colon = line.indexOf(':');
    if (colon < 1
        || !line.substring(0, colon).matches("[!-9;-~]+")) { // no white space before the colon
      return 400;
    }
    String value = line.substring(colon + 1).trim();
    switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
      case "host" -> host = true;
      case "transfer-encoding" -> {
        return 501;
      }
      case "content-length" -> {
        long length = TextSyntax.parseNumber(value, 9);
        if (length < 0) {
          return 400;
        }
        if (length > LONGEST) {
          return 413;
        }
        bodyLength = (int) length;
      }
      default -> {} // of no meaning here
    }
    return 0;
  }

  private int end() {
    headRead = true;
    return host ? 0 : 400;
  }

  /** The status that a wrong call is answered with, 0 for one that is in order. */
  int wrong() {
    return wrong;
  }

  /** Whether anything of it has come. */
  boolean begun() {
    return read > 0;
  }

  String method() {
    return method;
  }

  String target() {
    return target;
  }
}
