package rosecleat.front.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import rosecleat.core.Response;

/** Writes answers as RESP arrays of bulk strings. */
final class RespReplies {
  private static final byte[] NOTHING = new byte[0];

  private RespReplies() {}

  static ByteBuffer bye() {
    return array(bytes("0"), bytes("BYE"));
  }

  static ByteBuffer health(long tag, boolean good, double credit) {
    return array(tag(tag), bytes(good ? "UP" : "DOWN"), bytes(say(credit)));
  }

  static ByteBuffer answer(long tag, Response answer, double credit) {
    String say = say(credit);
    if (answer instanceof Response.Completed completed) {
      return array(tag(tag), bytes("OK"), bytes(say), completed.result());
    }
    if (answer instanceof Response.Rejected rejected) {
      String after =
          rejected.retryAfterUs() > 0 ? "after=" + (rejected.retryAfterUs() + 999) / 1000 : "";
      return array(
          tag(tag),
          bytes("BUSY"),
          bytes(join(say, after, rejected.last() ? "last=1" : "")),
          NOTHING);
    }
    return array(tag(tag), bytes("FAILED"), bytes(say), NOTHING);
  }

  private static String say(double credit) {
    if (Double.isNaN(credit)) {
      return "";
    }
    long parts = Math.round(credit * 10_000); // written without an exponent, however small
    return "say=" + parts / 10_000 + "." + Long.toString(10_000 + parts % 10_000).substring(1);
  }

  private static String join(String... fields) {
    StringBuilder all = new StringBuilder();
    for (String field : fields) {
      all.append(all.length() == 0 || field.isEmpty() ? "" : ",").append(field);
    }
    return all.toString();
  }

  private static byte[] tag(long tag) {
    return bytes(Long.toString(tag));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static ByteBuffer array(byte[]... words) {
    int size = 16;
    for (byte[] word : words) {
      size += word.length + 16;
    }
    ByteBuffer out = ByteBuffer.allocate(size);
    out.put(bytes("*" + words.length + "\r\n"));
    for (byte[] word : words) {
      out.put(bytes("$" + word.length + "\r\n")).put(word).put((byte) '\r').put((byte) '\n');
    }
    return out.flip();
  }
}
