package rosecleat.runtime;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import rosecleat.net.LineBuffer;

/**
 * Warms up the code that reads messages: encodes synthetic messages and reads them back in memory
 * in the way a connection does, so that a starting node handles its first real messages with
 * compiled code.
 */
public final class RuntimeMessageWarmup {
  private static final int MAX_LINE_BYTES = 1 << 16;

  private final LineBuffer lines = new LineBuffer(MAX_LINE_BYTES);
  private long sequence;

  /**
   * Encodes a message of the given type and payload and reads it back.
   *
   * @return the payload; null if the message cannot be read
   */
  public byte[] roundTrip(String type, String runId, byte[] payload) {
    sequence++;
    lines.append(ByteBuffer.wrap(encode(type, runId, payload)));
    Optional<RuntimeMessage> message = RuntimeMessage.parse(lines.readLine());
    if (message.isEmpty() || message.get().sequence() != sequence) {
      return null;
    }
    String encoded = encodedPayload(message.get().body());
    return encoded == null ? null : Base64.getDecoder().decode(encoded);
  }

  private static String encodedPayload(RuntimeMessage.Body body) {
    if (body instanceof RuntimeMessage.RunEnded end) {
      return end.tookUs() == 0 ? null : end.encodedResult();
    }
    return body instanceof RuntimeMessage.CallRequested call ? call.encodedBody() : null;
  }

  private byte[] encode(String type, String runId, byte[] payload) {
    String line =
        "{\"type\":\""
            + type
            + "\",\"n\":"
            + sequence
            + ",\"job\":\""
            + runId
            + "\",\"state\":\"ok\",\"took\":20.5,"
            + "\"data\":\""
            + Base64.getEncoder().encodeToString(payload)
            + "\"}\n";
    return line.getBytes(StandardCharsets.ISO_8859_1);
  }
}
