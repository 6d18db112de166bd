package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Locale;
import rosecleat.net.LineBuffer;

/** Takes the HTTP response of a uwsgi backend out of a stream: a status, headers, and a body up to a length. */
final class HttpParser {
  private static final int HEAD = 16 << 10;

  private final int longest;
  private final LineBuffer lines = new LineBuffer(HEAD);
  private int status;
  private long length = -1;
  private boolean headed;
  private int headBytes;
  private byte[] body = new byte[0];
  private int filled;

  HttpParser(int longest) {
    this.longest = longest;
  }

  /** Takes bytes; false where they are no response or too many. */
  boolean take(ByteBuffer in) {
    while (!headed && in.hasRemaining()) {
      lines.add(ByteBuffer.wrap(new byte[] {in.get()}));
      if (++headBytes > HEAD) {
        return false;
      }
      String line = lines.line();
      if (line != null && !head(line)) {
        return false;
      }
    }
    int count = in.remaining();
    if (count == 0) {
      return true;
    }
    if (filled + count > longest || length >= 0 && filled + count > length) {
      return false;
    }
    if (filled + count > body.length) {
      body = Arrays.copyOf(body, Math.min(longest, Math.max(filled + count, 2 * body.length)));
    }
    in.get(body, filled, count);
    filled += count;
    return true;
  }

  private boolean head(String line) {
    String lower = line.toLowerCase(Locale.ROOT);
    if (line.isEmpty()) {
      headed = true;
      return status != 0 && length <= longest;
    }
    if (lower.startsWith("http/1.") && status == 0) {
      return status(line.split(" "), 1);
    }
    if (lower.startsWith("status:")) { // CGI's way to say it
      return status(line.substring(7).trim().split(" "), 0);
    }
    if (lower.startsWith("content-length:")) {
      String value = lower.substring(15).trim();
      if (length >= 0 || !value.matches("[0-9]{1,12}")) {
        return false;
      }
      length = Long.parseLong(value);
    }
    return !lower.startsWith("transfer-encoding:") && line.indexOf(':') > 0;
  }

  private boolean status(String[] words, int at) {
    if (words.length <= at || !words[at].matches("[1-5][0-9][0-9]")) {
      return false;
    }
    status = Integer.parseInt(words[at]);
    return true;
  }

  /** Whether the response is whole, at the end of the stream or before it. */
  boolean whole(boolean atEnd) {
    return headed && (length >= 0 ? filled == length : atEnd);
  }

  int status() {
    return status;
  }

  byte[] body() {
    return Arrays.copyOf(body, filled);
  }
}
