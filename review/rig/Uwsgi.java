import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A uwsgi service and uwsgi packets of callers. */
final class Uwsgi {
  private Uwsgi() {}

  static byte[] packet(Map<String, String> vars, byte[] body) {
    ByteArrayOutputStream block = new ByteArrayOutputStream();
    vars.forEach(
        (name, value) -> {
          for (String text : new String[] {name, value}) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            block.write(bytes.length);
            block.write(bytes.length >> 8);
            block.writeBytes(bytes);
          }
        });
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(0);
    out.write(block.size());
    out.write(block.size() >> 8);
    out.write(0);
    out.writeBytes(block.toByteArray());
    out.writeBytes(body);
    return out.toByteArray();
  }

  static byte[] request(String method, String path, String team, String key, byte[] body) {
    Map<String, String> vars = new HashMap<>();
    vars.put("REQUEST_METHOD", method);
    vars.put("PATH_INFO", path);
    vars.put("REQUEST_URI", path);
    vars.put("QUERY_STRING", "");
    vars.put("HTTP_X_TEAM", team);
    vars.put("CONTENT_LENGTH", body.length == 0 ? "" : Integer.toString(body.length));
    if (key != null) {
      vars.put("HTTP_IDEMPOTENCY_KEY", key);
    }
    return packet(vars, body);
  }

  static Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2000);
    return socket;
  }

  /** A service: notes each request and answers it with a body of a fixed length. */
  static class Service extends StandIns.Server {
    final String label;
    final byte[] reply;
    volatile int delayMs;

    /** The pause before the last twentieth of a reply. */
    volatile int restAfterMs;

    final java.util.List<String> seen = java.util.Collections.synchronizedList(new java.util.ArrayList<>());

    Service(String label, byte[] reply) throws IOException {
      this.label = label;
      this.reply = reply;
      open();
    }

    @Override
    void serve(Socket socket) throws IOException {
      DataInputStream input = new DataInputStream(socket.getInputStream());
      input.readByte();
      int length = input.readUnsignedByte() | input.readUnsignedByte() << 8;
      input.readByte();
      byte[] block = new byte[length];
      input.readFully(block);
      Map<String, String> vars = new HashMap<>();
      for (int at = 0; at < length; ) {
        int n = (block[at] & 255) | (block[at + 1] & 255) << 8;
        String name = new String(block, at + 2, n, StandardCharsets.UTF_8);
        at += 2 + n;
        int v = (block[at] & 255) | (block[at + 1] & 255) << 8;
        vars.put(name, new String(block, at + 2, v, StandardCharsets.UTF_8));
        at += 2 + v;
      }
      String contentLength = vars.getOrDefault("CONTENT_LENGTH", "");
      input.readFully(new byte[contentLength.isEmpty() ? 0 : Integer.parseInt(contentLength)]);
      String line = vars.get("REQUEST_METHOD") + " " + vars.get("PATH_INFO") + " key "
          + vars.get("HTTP_IDEMPOTENCY_KEY") + " id " + vars.get("HTTP_X_REQUEST_ID");
      seen.add(line);
      Rig.note(label + " runs " + line);
      try {
        Thread.sleep(delayMs);
      } catch (InterruptedException e) {
        return;
      }
      socket
          .getOutputStream()
          .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + reply.length + "\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      int first = reply.length - reply.length / 20;
      socket.getOutputStream().write(reply, 0, first);
      socket.getOutputStream().flush();
      try {
        Thread.sleep(restAfterMs);
      } catch (InterruptedException e) {
        return;
      }
      socket.getOutputStream().write(reply, first, reply.length - first);
      socket.getOutputStream().flush();
      socket.shutdownOutput();
      while (input.read() >= 0) {}
    }
  }
}
