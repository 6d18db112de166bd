package rosecleat.index;

import java.nio.ByteBuffer;
import java.util.Arrays;
import rosecleat.core.CallResult;
import rosecleat.net.LineBuffer;
import rosecleat.net.TextSyntax;

/**
 * The replies of one connection, cut out of its bytes. Strict: a reply that is not exactly as the
 * protocol has it spoils the stream, as nothing behind it can be relied on.
 */
final class Replies {
  /** One whole reply; the body comes with {@link CallResult#OK} only. */
  record Reply(String id, CallResult end, byte[] body) {}

  /** A body that no honest index sends: results have 4 KiB at the most. */
  static final int LONGEST_BODY = 64 << 10;

  private static final int LONGEST_LINE = 64;

  private final LineBuffer bytes = new LineBuffer(LONGEST_BODY + 2 + LONGEST_LINE);
  private String id;
  private int length = -1;
  private boolean spoilt;

  /** Takes all that has come. */
  void take(ByteBuffer more) {
    spoilt |= !bytes.append(more);
  }

  /** Whether what came is no reply; nothing more is read then. */
  boolean spoilt() {
    return spoilt;
  }

  /** The next whole reply, null where there is none or the stream is spoilt. */
  Reply next() {
    if (spoilt) {
      return null;
    }
    if (length < 0) {
      String line = bytes.readLine();
      if (line == null || line.length() > LONGEST_LINE) {
        spoilt = line != null || bytes.size() > LONGEST_LINE;
        return null;
      }
      Reply reply = head(line.split(" ", -1));
      if (reply != null || spoilt) {
        return reply;
      }
    }
    byte[] body = bytes.readBlock(length + 2);
    if (body == null) {
      return null;
    }
    spoilt = body[length] != '\r' || body[length + 1] != '\n';
    Reply reply = spoilt ? null : new Reply(id, CallResult.OK, Arrays.copyOf(body, length));
    length = -1;
    return reply;
  }

  /**
   * Reads the first line: a reply without a body, or null with the length of the body noted or the
   * stream spoilt.
   */
  private Reply head(String[] words) {
    id = words[0];
    boolean hit = words.length == 3 && words[1].equals("HIT");
    CallResult end =
        words.length != 2
            ? null
            : switch (words[1]) {
              case "SHED" -> CallResult.REJECTED;
              case "NOBODY" -> CallResult.UNREACHABLE;
              case "BROKEN" -> CallResult.FAILED;
              case "SLOW" -> CallResult.TIMED_OUT;
              default -> null;
            };
    if (hit) {
      length = (int) TextSyntax.parseNumber(words[2], 6);
    }
    spoilt =
        !TextSyntax.isLowerHex(id, 16, 16)
            || (hit ? length < 0 || length > LONGEST_BODY : end == null);
    return spoilt || hit ? null : new Reply(id, end, null);
  }
}
