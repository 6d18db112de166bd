package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** An incremental parser of one uwsgi request: a header, vars, and a body of known length. */
final class UwsgiRequestParser {
  private enum State {
    HEADER,
    VARS,
    BODY,
    COMPLETE,
    FAILED
  }

  /** The size of the length field before each string. */
  private static final int LENGTH_BYTES = 2;

  private final int maxVarsBytes;
  private final int maxBodyBytes;
  private State state = State.HEADER;

  /** Buffers the part of the request that is being read; its capacity is the part's length. */
  private ByteBuffer part = ByteBuffer.allocate(UwsgiPacket.HEADER_BYTES);

  private int modifier1;
  private int modifier2;
  private EncodedVars vars = new EncodedVars(new byte[0], 0);
  private byte[] body = new byte[0];
  private RequestError error;

  /** Creates a parser that rejects vars and bodies longer than these limits. */
  UwsgiRequestParser(int maxVarsBytes, int maxBodyBytes) {
    this.maxVarsBytes = maxVarsBytes;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Consumes input up to the end of the request.
   *
   * @return whether the request is complete or was found to be invalid
   */
  boolean feed(ByteBuffer input) {
    while (state != State.COMPLETE && state != State.FAILED) {
      while (part.hasRemaining() && input.hasRemaining()) {
        part.put(input.get());
      }
      if (part.hasRemaining()) {
        return false;
      }
      part.flip();
      parsePart();
    }
    return true;
  }

  /** Returns whether any byte of the request has been received. */
  boolean hasInput() {
    return state != State.HEADER || part.position() > 0;
  }

  /** Returns the heap that the received part of the request occupies. */
  int heldBytes() {
    return part.capacity() + vars.heapBytes();
  }

  /** Returns the heap that the complete request occupies. */
  int requestBytes() {
    return vars.heapBytes() + body.length;
  }

  /** Returns the reason why the request is invalid; empty if no error has been found. */
  Optional<RequestError> error() {
    return Optional.ofNullable(error);
  }

  /** Returns the request; to be called once it is complete. */
  UwsgiPacket packet() {
    return new UwsgiPacket(modifier1, modifier2, vars, body);
  }

  private void parsePart() {
    switch (state) {
      case HEADER -> parseHeader();
      case VARS -> parseVars();
      case BODY -> {
        body = part.array();
        state = State.COMPLETE;
      }
      default -> throw new AssertionError(state);
    }
  }

  private void parseHeader() {
    modifier1 = part.get() & 0xff;
    int length = readLength();
    modifier2 = part.get() & 0xff;
    if (modifier1 == UwsgiPacket.MODIFIER_PING) {
      state = State.COMPLETE;
    } else if (modifier1 != UwsgiPacket.MODIFIER_REQUEST) {
      fail(new RequestError(RequestError.Kind.UNSUPPORTED_MODIFIER, Integer.toString(modifier1)));
    } else if (length > maxVarsBytes) {
      fail(new RequestError(RequestError.Kind.VARS_TOO_LONG));
    } else {
      expect(State.VARS, length);
    }
  }

  private void parseVars() {
    Map<String, String> parsed = new HashMap<>();
    boolean hasRepeats = false;
    while (part.hasRemaining()) {
      Optional<String> name = readString();
      Optional<String> value = name.isPresent() ? readString() : Optional.empty();
      if (value.isEmpty() || name.get().isEmpty()) {
        fail(new RequestError(RequestError.Kind.MALFORMED_VARS));
        return;
      }
      String earlier = parsed.put(name.get(), value.get());
      if (earlier != null && !earlier.equals(value.get())) {
        fail(new RequestError(RequestError.Kind.CONFLICTING_VARS));
        return;
      }
      hasRepeats |= earlier != null;
    }
    byte[] block = hasRepeats ? UwsgiPacket.encodeVars(parsed) : part.array();
    vars = new EncodedVars(block, parsed.size());
    parseContentLength(parsed.getOrDefault("CONTENT_LENGTH", ""));
  }

  private void parseContentLength(String length) {
    if (length.isEmpty()) {
      state = State.COMPLETE;
    } else if (!length.matches("[0-9]{1,18}")) {
      fail(new RequestError(RequestError.Kind.MALFORMED_CONTENT_LENGTH));
    } else if (Long.parseLong(length) > maxBodyBytes) {
      fail(new RequestError(RequestError.Kind.BODY_TOO_LONG));
    } else {
      expect(State.BODY, Integer.parseInt(length));
    }
  }

  /** Reads a length and its string; returns empty if they extend past the end of the vars. */
  private Optional<String> readString() {
    if (part.remaining() < LENGTH_BYTES) {
      return Optional.empty();
    }
    int length = readLength();
    if (length > part.remaining()) {
      return Optional.empty();
    }
    byte[] bytes = new byte[length];
    part.get(bytes);
    return Optional.of(new String(bytes, StandardCharsets.UTF_8));
  }

  /** Reads a length, which is encoded in two bytes, little-endian. */
  private int readLength() {
    int low = part.get() & 0xff;
    int high = part.get() & 0xff;
    return low | high << 8;
  }

  private void expect(State next, int length) {
    part = ByteBuffer.allocate(length);
    state = next;
  }

  private void fail(RequestError found) {
    error = found;
    state = State.FAILED;
  }
}
