package rosecleat.runtime;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import rosecleat.net.LineBuffer;

/** Reads made-up notices as a link does, in memory. */
public final class RuntimeMessageWarmup {
  private final LineBuffer lines = new LineBuffer(1 << 16);
  private long number;

  /**
   * What a notice of this type with these bytes brings once it was written and read; null where it
   * can't be read.
   */
  public byte[] roundTrip(String type, String job, byte[] data) {
    String line =
        "{\"type\":\""
            + type
            + "\",\"n\":"
            + ++number
            + ",\"job\":\""
            + job
            + "\",\"state\":\"ok\",\"took\":20.5,"
            + "\"data\":\""
            + Base64.getEncoder().encodeToString(data)
            + "\"}\n";
    lines.append(ByteBuffer.wrap(line.getBytes(StandardCharsets.ISO_8859_1)));
    Message message = Message.parse(lines.readLine());
    return message == null || message.number("n", 0) != number || message.micros("took") == 0
        ? null
        : Base64.getDecoder().decode(message.text("data"));
  }
}
