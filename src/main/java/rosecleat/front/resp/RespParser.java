package rosecleat.front.resp;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import rosecleat.net.TextSyntax;

/**
 * Takes RESP arrays of bulk strings out of a stream, whatever way its bytes come in. A string over
 * the limit is skipped and stands as null in its array, so that the rest of the array can still be
 * answered.
 */
final class RespParser {
  /**
   * Strings in an array, at the most: a request has five. What is kept of one message is bounded by
   * it.
   */
  private static final int MOST = 8;

  /** A length that no honest peer sends; the stream is given up there. */
  private static final long ABSURD = 1 << 24;

  private static final int HEAD = 24;

  /** What stands in the stream next. */
  private enum Next {
    ARRAY,
    LENGTH,
    STRING,
    END
  }

  /** Input that is no RESP array; the connection can't go on. */
  static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed(String message) {
      super(message, null, false, false);
    }
  }

  private final int longest;
  private final StringBuilder head = new StringBuilder();
  private Next next = Next.ARRAY;
  private List<byte[]> array;
  private int missing;
  private byte[] string;
  private int length;
  private int filled;
  private int ends;

  /** A parser that keeps strings up to a length. */
  RespParser(int longest) {
    this.longest = longest;
  }

  /** Whether part of an array has come. */
  boolean begun() {
    return next != Next.ARRAY || head.length() > 0;
  }

  /** The next array, or null when the bytes are used up. */
  List<byte[]> next(ByteBuffer in) throws Malformed {
    while (in.hasRemaining()) {
      switch (next) {
        case ARRAY -> {
          long count = number(in, '*', MOST);
          if (count == 0) {
            throw new Malformed("an empty array");
          }
          if (count > 0) {
            array = new ArrayList<>();
            missing = (int) count;
            next = Next.LENGTH;
          }
        }
        case LENGTH -> {
          long count = number(in, '$', ABSURD);
          if (count >= 0) {
            length = (int) count;
            string = length > longest ? null : new byte[length];
            filled = 0;
            next = length == 0 ? Next.END : Next.STRING;
          }
        }
        case STRING -> fill(in);
        case END -> {
          if (end(in)) {
            array.add(string);
            next = --missing == 0 ? Next.ARRAY : Next.LENGTH;
            if (missing == 0) {
              return array;
            }
          }
        }
      }
    }
    return null;
  }

  /** The number behind a sign, -1 while its line is not whole. */
  private long number(ByteBuffer in, char sign, long most) throws Malformed {
    while (in.hasRemaining()) {
      char c = (char) (in.get() & 0xff);
      if (c != '\n') {
        head.append(c);
        if (head.length() > HEAD) {
          throw new Malformed("a line of a head is too long");
        }
        continue;
      }
      int end = head.length() - 1;
      long value =
          end < 1 || head.charAt(0) != sign || head.charAt(end) != '\r'
              ? -1
              : TextSyntax.parseNumber(head, 1, end, 9);
      head.setLength(0);
      if (value < 0) {
        throw new Malformed("no " + sign + " with a number");
      }
      if (value > most) {
        throw new Malformed(value + " is too much behind " + sign);
      }
      return value;
    }
    return -1;
  }

  private void fill(ByteBuffer in) {
    int count = Math.min(length - filled, in.remaining());
    if (string != null) {
      in.get(string, filled, count);
    } else {
      in.position(in.position() + count);
    }
    filled += count;
    if (filled == length) {
      next = Next.END;
    }
  }

  /** Takes CR LF; true once both have come. */
  private boolean end(ByteBuffer in) throws Malformed {
    while (in.hasRemaining()) {
      if (in.get() != (ends == 0 ? '\r' : '\n')) {
        throw new Malformed("a string runs past its length");
      }
      if (++ends == 2) {
        ends = 0;
        return true;
      }
    }
    return false;
  }
}
