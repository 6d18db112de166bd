package rosecleat.front.uwsgi;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/**
 * One uwsgi request.
 *
 * @param modifier1 the type of the packet
 * @param modifier2 a parameter, whose meaning depends on the type
 * @param vars the CGI variables by name
 * @param body the body, which follows the uwsgi packet on the connection
 */
record UwsgiPacket(int modifier1, int modifier2, Map<String, String> vars, byte[] body) {
  /** The first modifier of a request with vars, as web servers send it. */
  static final int MODIFIER_REQUEST = 0;

  /** The first modifier of a ping; the response is the same packet with modifier2 set to 1. */
  static final int MODIFIER_PING = 100;

  static final int HEADER_BYTES = 4;

  /** The largest length of a string, or of all vars: lengths are encoded in two bytes. */
  private static final int MAX_LENGTH = 0xffff;

  /** Returns the response to a ping. */
  static ByteBuffer pong() {
    return ByteBuffer.wrap(new byte[] {MODIFIER_PING, 0, 0, 1});
  }

  /** Returns the value of a var; an empty string if the var is absent. */
  String var(String name) {
    return vars.getOrDefault(name, "");
  }

  /** Encodes vars of which no name and no value exceeds {@link #MAX_LENGTH}. */
  static byte[] encodeVars(Map<String, String> vars) {
    ByteArrayOutputStream block = new ByteArrayOutputStream();
    vars.forEach(
        (name, value) -> {
          append(block, name);
          append(block, value);
        });
    return block.toByteArray();
  }

  /** Encodes the packet; returns empty if a string or all vars exceed {@link #MAX_LENGTH}. */
  Optional<ByteBuffer> encode() {
    ByteArrayOutputStream block = new ByteArrayOutputStream();
    for (Map.Entry<String, String> var : vars.entrySet()) {
      if (!append(block, var.getKey()) || !append(block, var.getValue())) {
        return Optional.empty();
      }
    }
    if (block.size() > MAX_LENGTH) {
      return Optional.empty();
    }
    ByteBuffer encoded = ByteBuffer.allocate(HEADER_BYTES + block.size() + body.length);
    encoded.put((byte) modifier1);
    encoded.put((byte) block.size()).put((byte) (block.size() >> 8));
    encoded.put((byte) modifier2);
    return Optional.of(encoded.put(block.toByteArray()).put(body).flip());
  }

  /** Appends a string after its length; returns false if it exceeds {@link #MAX_LENGTH}. */
  private static boolean append(ByteArrayOutputStream block, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    block.write(bytes.length);
    block.write(bytes.length >> 8);
    block.writeBytes(bytes);
    return bytes.length <= MAX_LENGTH;
  }
}
