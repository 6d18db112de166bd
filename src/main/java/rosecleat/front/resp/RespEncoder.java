package rosecleat.front.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import rosecleat.core.Response;

/**
 * Encodes messages to clients as RESP2 arrays of bulk strings. Each response contains the node's
 * load advice, a number of at least 0; it is omitted if the value passed is NaN.
 */
final class RespEncoder {
  private static final byte[] EMPTY = new byte[0];

  /** Scale of load advice, which is written with four decimal places. */
  private static final int LOAD_ADVICE_SCALE = 10_000;

  private static final int US_PER_MS = 1_000;

  /** Most bytes that an array or a string takes in addition to its content. */
  private static final int OVERHEAD_BYTES = 16;

  private RespEncoder() {}

  /** Encodes the message that asks the client to close the connection; its tag is 0. */
  static ByteBuffer bye() {
    return array(ascii("0"), ascii("BYE"));
  }

  /** Encodes the response to a health check. */
  static ByteBuffer health(long tag, boolean healthy, double loadAdvice) {
    return array(ascii(tag), ascii(healthy ? "UP" : "DOWN"), ascii(loadAdviceField(loadAdvice)));
  }

  /** Encodes the response to a request. */
  static ByteBuffer response(long tag, Response response, double loadAdvice) {
    if (response instanceof Response.Completed completed) {
      return array(ascii(tag), ascii("OK"), ascii(loadAdviceField(loadAdvice)), completed.result());
    }
    if (response instanceof Response.Rejected rejected) {
      return rejection(tag, rejected, loadAdvice);
    }
    return array(ascii(tag), ascii("FAILED"), ascii(loadAdviceField(loadAdvice)), EMPTY);
  }

  private static ByteBuffer rejection(long tag, Response.Rejected rejected, double loadAdvice) {
    String retryAfter =
        rejected.retryAfterUs() > 0
            ? "after=" + (rejected.retryAfterUs() + US_PER_MS - 1) / US_PER_MS
            : "";
    String fields = join(loadAdviceField(loadAdvice), retryAfter, rejected.last() ? "last=1" : "");
    return array(ascii(tag), ascii("BUSY"), ascii(fields), EMPTY);
  }

  /**
   * Formats the number without {@link Double#toString}, which uses an exponent for small numbers.
   */
  private static String loadAdviceField(double loadAdvice) {
    if (Double.isNaN(loadAdvice)) {
      return "";
    }
    long scaled = Math.round(loadAdvice * LOAD_ADVICE_SCALE);
    String fraction = Long.toString(LOAD_ADVICE_SCALE + scaled % LOAD_ADVICE_SCALE).substring(1);
    return "say=" + scaled / LOAD_ADVICE_SCALE + "." + fraction;
  }

  private static String join(String... fields) {
    StringBuilder joined = new StringBuilder();
    for (String field : fields) {
      joined.append(joined.length() == 0 || field.isEmpty() ? "" : ",").append(field);
    }
    return joined.toString();
  }

  private static byte[] ascii(long number) {
    return ascii(Long.toString(number));
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static ByteBuffer array(byte[]... strings) {
    int size = OVERHEAD_BYTES;
    for (byte[] string : strings) {
      size += string.length + OVERHEAD_BYTES;
    }
    ByteBuffer encoded = ByteBuffer.allocate(size);
    encoded.put(ascii("*" + strings.length + "\r\n"));
    for (byte[] string : strings) {
      encoded.put(ascii("$" + string.length + "\r\n"));
      encoded.put(string).put((byte) '\r').put((byte) '\n');
    }
    return encoded.flip();
  }
}
