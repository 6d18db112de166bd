package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import rosecleat.net.LineBuffer;

/**
 * Takes the HTTP response of a uwsgi backend out of a stream: a status, headers, and a body up to a
 * length. Heads that say that the answer is still to come (1xx) are passed over.
 */
final class HttpParser {
  private static final int HEAD = 16 << 10;
  private static final String TOKEN = "[0-9A-Za-z!#$%&'*+.^_`|~-]+";

  private final int longest;
  private final LineBuffer lines = new LineBuffer(HEAD);
  private int status;
  private long length = -1;
  private boolean headed;
  private int headBytes;
  private final List<ServiceReply.Header> headers = new ArrayList<>();
  private byte[] body = new byte[0];
  private int filled;

  HttpParser(int longest) {
    this.longest = longest;
  }

  /** Takes bytes; false where they are no response or too many. */
  boolean take(ByteBuffer in) {
    while (!headed && in.hasRemaining()) {
      lines.append(ByteBuffer.wrap(new byte[] {in.get()}));
      if (++headBytes > HEAD) {
        return false;
      }
      String line = lines.readLine();
      if (line != null && !head(line)) {
        return false;
      }
    }
    int count = in.remaining();
    if (count == 0) {
      return true;
    }
    if (filled + count > longest || bodiless() || length >= 0 && filled + count > length) {
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
      if (status >= 100 && status < 200 && status != 101) {
        status = 0;
        length = -1;
        headers.clear();
        return true;
      }
      headed = true;
      return status >= 200 && length <= longest;
    }
    if (line.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
      return false; // a caller could take it for the end of a line
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
    int colon = line.indexOf(':');
    if (lower.startsWith("transfer-encoding:")
        || !line.substring(0, Math.max(0, colon)).matches(TOKEN)) {
      return false;
    }
    headers.add(
        new ServiceReply.Header(line.substring(0, colon), line.substring(colon + 1).trim()));
    return true;
  }

  /** Whether its status has no body, whatever its headers say (RFC 9110, section 6.4.1). */
  private boolean bodiless() {
    return status == 204 || status == 304;
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
    return headed && (bodiless() || (length >= 0 ? filled == length : atEnd));
  }

  /** The response, once it is whole. */
  ServiceReply reply() {
    return ServiceReply.of(status, headers, Arrays.copyOf(body, filled));
  }
}
