package rosecleat.front.resp;

import java.nio.ByteBuffer;
import java.util.Optional;
import rosecleat.net.TextSyntax;

/**
 * An incremental parser of RESP2 arrays of bulk strings. The limits on the lengths of the array and
 * of its strings bound the memory for one message.
 */
final class RespParser {
  private static final char ARRAY_TYPE = '*';
  private static final char STRING_TYPE = '$';

  /** Most strings in an array; a request has five. */
  private static final int MAX_ARRAY_LENGTH = 8;

  /** Longest string that is skipped; a longer one is a protocol error. */
  private static final long MAX_SKIPPED_STRING_BYTES = 1 << 24;

  private static final int MAX_HEADER_CHARS = 24;
  private static final int MAX_LENGTH_DIGITS = 9;

  /** Objects of a message beside its strings. */
  private static final int MESSAGE_OBJECT_BYTES = 128;

  /** Returned in place of a length if the header is incomplete. */
  private static final long INCOMPLETE = -1;

  private enum State {
    ARRAY_HEADER,
    STRING_HEADER,
    STRING_BYTES,
    STRING_END
  }

  private final int maxStringBytes;
  private final StringBuilder header = new StringBuilder();
  private State state = State.ARRAY_HEADER;
  private RespMessage message;
  private int remainingStrings;
  private byte[] string;
  private int stringLength;
  private int stringBytesRead;
  private int terminatorBytesRead;

  /** Creates a parser that skips strings longer than {@code maxStringBytes}. */
  RespParser(int maxStringBytes) {
    this.maxStringBytes = maxStringBytes;
  }

  /** Returns whether part of a message has been received. */
  boolean isMidMessage() {
    return state != State.ARRAY_HEADER || header.length() > 0;
  }

  /** Returns the heap that the received part of a message occupies; 0 between two messages. */
  int heldBytes() {
    if (state == State.ARRAY_HEADER) {
      return 0;
    }
    boolean inString = state != State.STRING_HEADER;
    return MESSAGE_OBJECT_BYTES
        + message.heapBytes()
        + (inString ? RespMessage.heapBytes(string) : 0);
  }

  /**
   * Parses the next message.
   *
   * @return the message; empty if the input ends before the message does
   * @throws RespProtocolException if the input is malformed; the parser must not be used afterwards
   */
  Optional<RespMessage> next(ByteBuffer input) throws RespProtocolException {
    while (input.hasRemaining()) {
      switch (state) {
        case ARRAY_HEADER -> parseArrayHeader(input);
        case STRING_HEADER -> parseStringHeader(input);
        case STRING_BYTES -> readString(input);
        case STRING_END -> {
          if (readTerminator(input) && endString()) {
            return takeMessage();
          }
        }
        default -> throw new AssertionError(state);
      }
    }
    return Optional.empty();
  }

  /** Returns the complete message and keeps no reference to it. */
  private Optional<RespMessage> takeMessage() {
    Optional<RespMessage> complete = Optional.of(message);
    message = null;
    return complete;
  }

  private void parseArrayHeader(ByteBuffer input) throws RespProtocolException {
    long length = parseLength(input, ARRAY_TYPE, MAX_ARRAY_LENGTH);
    if (length == INCOMPLETE) {
      return;
    }
    if (length == 0) {
      throw new RespProtocolException(RespProtocolException.Kind.EMPTY_ARRAY, "array is empty");
    }
    message = new RespMessage();
    remainingStrings = (int) length;
    state = State.STRING_HEADER;
  }

  private void parseStringHeader(ByteBuffer input) throws RespProtocolException {
    long length = parseLength(input, STRING_TYPE, MAX_SKIPPED_STRING_BYTES);
    if (length == INCOMPLETE) {
      return;
    }
    stringLength = (int) length;
    string = stringLength > maxStringBytes ? null : new byte[stringLength];
    stringBytesRead = 0;
    state = stringLength == 0 ? State.STRING_END : State.STRING_BYTES;
  }

  private long parseLength(ByteBuffer input, char type, long max) throws RespProtocolException {
    while (input.hasRemaining()) {
      char next = (char) (input.get() & 0xff);
      if (next == '\n') {
        return lengthInHeader(type, max);
      }
      header.append(next);
      if (header.length() > MAX_HEADER_CHARS) {
        throw new RespProtocolException(
            RespProtocolException.Kind.HEADER_TOO_LONG,
            "header line is longer than " + MAX_HEADER_CHARS + " characters");
      }
    }
    return INCOMPLETE;
  }

  private long lengthInHeader(char type, long max) throws RespProtocolException {
    int end = header.length() - 1;
    boolean wellFormed = end >= 1 && header.charAt(0) == type && header.charAt(end) == '\r';
    long length = wellFormed ? TextSyntax.parseNumber(header, 1, end, MAX_LENGTH_DIGITS) : -1;
    header.setLength(0);
    if (length < 0) {
      throw new RespProtocolException(
          RespProtocolException.Kind.MALFORMED_HEADER,
          "header line is not " + type + " followed by a length");
    }
    if (length > max) {
      throw new RespProtocolException(
          RespProtocolException.Kind.LENGTH_TOO_LARGE,
          "length after " + type + " is " + length + ", maximum " + max);
    }
    return length;
  }

  private void readString(ByteBuffer input) {
    int count = Math.min(stringLength - stringBytesRead, input.remaining());
    if (string == null) {
      input.position(input.position() + count);
    } else {
      input.get(string, stringBytesRead, count);
    }
    stringBytesRead += count;
    if (stringBytesRead == stringLength) {
      state = State.STRING_END;
    }
  }

  /** Reads the CR LF after a string; returns true once both bytes have been read. */
  private boolean readTerminator(ByteBuffer input) throws RespProtocolException {
    while (input.hasRemaining()) {
      char expected = terminatorBytesRead == 0 ? '\r' : '\n';
      if (input.get() != expected) {
        throw new RespProtocolException(
            RespProtocolException.Kind.UNTERMINATED_STRING,
            "string is not followed by CR LF after its announced length");
      }
      terminatorBytesRead++;
      if (terminatorBytesRead == 2) {
        terminatorBytesRead = 0;
        return true;
      }
    }
    return false;
  }

  /** Appends the string to the message; returns true if it was the last one. */
  private boolean endString() {
    message.append(string);
    string = null;
    remainingStrings--;
    state = remainingStrings == 0 ? State.ARRAY_HEADER : State.STRING_HEADER;
    return remainingStrings == 0;
  }
}
