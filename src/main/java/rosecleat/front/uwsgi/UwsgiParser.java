package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Takes one uwsgi request out of a stream, whatever way its bytes come in, within limits. */
final class UwsgiParser {
  private enum Next {
    HEADER,
    VARS,
    BODY,
    WHOLE,
    WRONG
  }

  private static final int BAD = 400;
  private static final int TOO_LARGE = 413;

  private final int packetBytes;
  private final int bodyBytes;
  private Next next = Next.HEADER;
  private ByteBuffer part = ByteBuffer.allocate(UwsgiPacket.HEADER);
  private int modifier1;
  private int modifier2;
  private Map<String, String> vars = Map.of();
  private byte[] body = new byte[0];
  private int status;
  private String why = "";

  /** A parser that takes vars and bodies up to these lengths. */
  UwsgiParser(int packetBytes, int bodyBytes) {
    this.packetBytes = packetBytes;
    this.bodyBytes = bodyBytes;
  }

  /** Takes bytes; true once the request is whole or found wrong. Bytes behind it are left. */
  boolean take(ByteBuffer in) {
    while (next != Next.WHOLE && next != Next.WRONG) {
      while (part.hasRemaining() && in.hasRemaining()) {
        part.put(in.get());
      }
      if (part.hasRemaining()) {
        return false;
      }
      part.flip();
      switch (next) {
        case HEADER -> header();
        case VARS -> vars();
        default -> {
          body = part.array();
          next = Next.WHOLE;
        }
      }
    }
    return true;
  }

  /** Whether anything of a request has come. */
  boolean begun() {
    return next != Next.HEADER || part.position() > 0;
  }

  /** The HTTP status of what is wrong with the request; 0 for nothing. */
  int status() {
    return status;
  }

  /** What is wrong with the request. */
  String why() {
    return why;
  }

  /** The request, once it is whole. */
  UwsgiPacket packet() {
    return new UwsgiPacket(modifier1, modifier2, vars, body);
  }

  private void header() {
    modifier1 = part.get(0) & 0xff;
    modifier2 = part.get(3) & 0xff;
    int length = (part.get(1) & 0xff) | (part.get(2) & 0xff) << 8;
    if (modifier1 == UwsgiPacket.PING) {
      next = Next.WHOLE;
    } else if (modifier1 != UwsgiPacket.REQUEST) {
      wrong(BAD, "modifier " + modifier1 + " is not served");
    } else if (length > packetBytes) {
      wrong(TOO_LARGE, "the vars are too long");
    } else {
      part = ByteBuffer.allocate(length);
      next = Next.VARS;
    }
  }

  private void vars() {
    Map<String, String> found = new HashMap<>();
    while (part.hasRemaining()) {
      String name = text();
      String value = name == null ? null : text();
      if (value == null || name.isEmpty()) {
        wrong(BAD, "a var runs past the packet");
        return;
      }
      String before = found.put(name, value);
      if (before != null
          && !before.equals(value)) { // two lengths or keys: nobody can say which is meant
        wrong(BAD, "a var is given twice");
        return;
      }
    }
    vars = found;
    String length = found.getOrDefault("CONTENT_LENGTH", "");
    if (length.isEmpty()) {
      next = Next.WHOLE;
    } else if (!length.matches("[0-9]{1,18}")) {
      wrong(BAD, "CONTENT_LENGTH is no length");
    } else if (Long.parseLong(length) > bodyBytes) {
      wrong(TOO_LARGE, "the body is too long");
    } else {
      part = ByteBuffer.allocate(Integer.parseInt(length));
      next = Next.BODY;
    }
  }

  private String text() {
    if (part.remaining() < 2) {
      return null;
    }
    int length = (part.get() & 0xff) | (part.get() & 0xff) << 8;
    if (length > part.remaining()) {
      return null;
    }
    byte[] bytes = new byte[length];
    part.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private void wrong(int code, String reason) {
    status = code;
    why = reason;
    next = Next.WRONG;
  }
}
