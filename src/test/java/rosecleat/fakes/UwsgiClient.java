package rosecleat.fakes;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The web server's side of the uwsgi protocol, implemented from its public specification. */
public final class UwsgiClient {
  /** A response; the status is 0 if the response has no complete head. */
  public record Reply(int status, String head, String body) {
    /** Returns the value of a header, or an empty string. */
    public String header(String name) {
      for (String line : head.split("\r\n")) {
        if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
          return line.substring(name.length() + 1).trim();
        }
      }
      return "";
    }
  }

  private UwsgiClient() {}

  /** Returns a request's vars; {@code more} alternates names and values. */
  public static Map<String, String> vars(String method, String path, String team, String... more) {
    Map<String, String> vars = new LinkedHashMap<>();
    vars.put("REQUEST_METHOD", method);
    vars.put("PATH_INFO", path);
    vars.put("HTTP_X_TEAM", team);
    for (int i = 0; i < more.length; i += 2) {
      vars.put(more[i], more[i + 1]);
    }
    return vars;
  }

  /** Encodes vars and body, and adds the var CONTENT_LENGTH if it is missing. */
  public static byte[] packet(Map<String, String> vars, String body) {
    Map<String, String> all = new LinkedHashMap<>(vars);
    all.putIfAbsent("CONTENT_LENGTH", Integer.toString(body.length()));
    ByteArrayOutputStream block = new ByteArrayOutputStream();
    all.forEach(
        (name, value) -> {
          put(block, name);
          put(block, value);
        });
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(0);
    out.write(block.size());
    out.write(block.size() >> 8);
    out.write(0);
    out.writeBytes(block.toByteArray());
    out.writeBytes(body.getBytes(StandardCharsets.UTF_8));
    return out.toByteArray();
  }

  private static void put(ByteArrayOutputStream out, String text) {
    out.write(text.length());
    out.write(text.length() >> 8);
    out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Connects with a small receive buffer, so that the operating system cannot buffer a large
   * response completely.
   */
  public static Socket open(int port) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(64 << 10);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    socket.setSoTimeout(10_000);
    return socket;
  }

  /** Sends bytes on a new connection and reads the complete response. */
  public static Reply exchange(int port, byte[] packet) throws IOException {
    try (Socket socket = open(port)) {
      socket.getOutputStream().write(packet);
      return read(socket);
    }
  }

  /** Reads a response up to the end of the connection. */
  public static Reply read(Socket socket) throws IOException {
    String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int end = text.indexOf("\r\n\r\n");
    return end < 0
        ? new Reply(0, text, "")
        : new Reply(
            Integer.parseInt(text.split(" ")[1]), text.substring(0, end), text.substring(end + 4));
  }
}
