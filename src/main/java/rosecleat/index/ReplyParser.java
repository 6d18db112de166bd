package rosecleat.index;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import rosecleat.core.CallResult;
import rosecleat.net.LineBuffer;
import rosecleat.net.TextSyntax;

/**
 * Parses the replies of one connection strictly: a reply that deviates from the protocol makes the
 * whole stream malformed, because the position of the next reply is uncertain. Used on the event
 * loop only.
 */
final class ReplyParser {
  /** A complete reply; the body is null unless the result is {@link CallResult#OK}. */
  record Reply(String id, CallResult result, byte[] body) {}

  /** Maximum accepted length of a body; results have at most 4 KiB. */
  static final int MAX_BODY_BYTES = 64 << 10;

  private static final int MAX_LINE_BYTES = 64;
  private static final int ID_DIGITS = 16;
  private static final int MAX_LENGTH_DIGITS = 6;

  /** The CR LF after a body. */
  private static final int BODY_END_BYTES = 2;

  private final LineBuffer buffer =
      new LineBuffer(MAX_BODY_BYTES + BODY_END_BYTES + MAX_LINE_BYTES);

  /** The id of the reply whose body is being read. */
  private String id;

  /** The length of the body that is being read; -1 between replies. */
  private int bodyLength = -1;

  private boolean malformed;

  /** Appends received bytes. */
  void append(ByteBuffer bytes) {
    malformed |= !buffer.append(bytes);
  }

  /** Returns whether the received bytes are malformed; nothing more is parsed then. */
  boolean malformed() {
    return malformed;
  }

  /** Returns the next complete reply; empty if there is none or the stream is malformed. */
  Optional<Reply> next() {
    if (malformed) {
      return Optional.empty();
    }
    if (bodyLength < 0) {
      String line = buffer.readLine();
      if (line == null || line.length() > MAX_LINE_BYTES) {
        malformed = line != null || buffer.size() > MAX_LINE_BYTES;
        return Optional.empty();
      }
      Optional<Reply> reply = parseHead(line.split(" ", -1));
      if (reply.isPresent() || malformed) {
        return reply;
      }
    }
    return readBody();
  }

  /**
   * Parses the first line of a reply. Returns the reply if it has no body. Otherwise returns empty,
   * after setting the length of the body or marking the stream as malformed.
   */
  private Optional<Reply> parseHead(String[] words) {
    id = words[0];
    boolean validId = TextSyntax.isLowerHex(id, ID_DIGITS, ID_DIGITS);
    if (words.length == 3 && words[1].equals("HIT")) {
      bodyLength = (int) TextSyntax.parseNumber(words[2], MAX_LENGTH_DIGITS);
      malformed = !validId || bodyLength < 0 || bodyLength > MAX_BODY_BYTES;
      return Optional.empty();
    }
    Optional<CallResult> result =
        words.length == 2 ? resultWithoutBody(words[1]) : Optional.empty();
    malformed = !validId || result.isEmpty();
    return malformed ? Optional.empty() : Optional.of(new Reply(id, result.get(), null));
  }

  private static Optional<CallResult> resultWithoutBody(String word) {
    return switch (word) {
      case "SHED" -> Optional.of(CallResult.REJECTED);
      case "NOBODY" -> Optional.of(CallResult.UNREACHABLE);
      case "BROKEN" -> Optional.of(CallResult.FAILED);
      case "SLOW" -> Optional.of(CallResult.TIMED_OUT);
      default -> Optional.empty();
    };
  }

  private Optional<Reply> readBody() {
    byte[] block = buffer.readBlock(bodyLength + BODY_END_BYTES);
    if (block == null) {
      return Optional.empty();
    }
    malformed = block[bodyLength] != '\r' || block[bodyLength + 1] != '\n';
    byte[] body = Arrays.copyOf(block, bodyLength);
    bodyLength = -1;
    return malformed ? Optional.empty() : Optional.of(new Reply(id, CallResult.OK, body));
  }
}
