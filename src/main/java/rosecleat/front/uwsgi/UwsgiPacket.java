package rosecleat.front.uwsgi;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One uwsgi request: the modifiers of its header, its vars and its body. */
record UwsgiPacket(int modifier1, int modifier2, Map<String, String> vars, byte[] body) {
  /** The modifier of a request with vars, as web servers send it. */
  static final int REQUEST = 0;

  /** The modifier of a ping, answered by the same with modifier2 set to 1. */
  static final int PING = 100;

  static final int HEADER = 4;
  private static final int LONGEST = 0xffff;

  String var(String name) {
    return vars.getOrDefault(name, "");
  }

  /** The packet as bytes, or null where the vars are too long for its header. */
  ByteBuffer encode() {
    ByteArrayOutputStream block = new ByteArrayOutputStream();
    for (Map.Entry<String, String> var : vars.entrySet()) {
      if (!put(block, var.getKey()) || !put(block, var.getValue())) {
        return null;
      }
    }
    if (block.size() > LONGEST) {
      return null;
    }
    ByteBuffer out = ByteBuffer.allocate(HEADER + block.size() + body.length);
    out.put((byte) modifier1)
        .put((byte) block.size())
        .put((byte) (block.size() >> 8))
        .put((byte) modifier2);
    return out.put(block.toByteArray()).put(body).flip();
  }

  private static boolean put(ByteArrayOutputStream block, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    block.write(bytes.length);
    block.write(bytes.length >> 8);
    block.writeBytes(bytes);
    return bytes.length <= LONGEST;
  }
}
