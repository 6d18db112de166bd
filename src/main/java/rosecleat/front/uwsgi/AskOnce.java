package rosecleat.front.uwsgi;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One uwsgi request as a web server sends it; prints the status and the body: {@code AskOnce
 * HOST:PORT METHOD PATH TEAM [BODY [KEY]]}. What {@code make ask} runs. Exit code 0 for an answer
 * of 2xx, 1 for another, 2 for none.
 */
public final class AskOnce {
  private static final int PATIENCE_MS = 15_000;

  private AskOnce() {}

  /** Sends it. */
  public static void main(String[] args) {
    if (args.length < 4 || args.length > 6 || !args[0].matches(".+:[0-9]{1,5}")) {
      System.err.println("ask: HOST:PORT METHOD PATH TEAM [BODY [KEY]]");
      System.exit(2);
    }
    Map<String, String> vars = new LinkedHashMap<>();
    vars.put("REQUEST_METHOD", args[1]);
    vars.put("REQUEST_URI", args[2]);
    vars.put("HTTP_X_TEAM", args[3]);
    byte[] body = (args.length > 4 ? args[4] : "").getBytes(StandardCharsets.UTF_8);
    vars.put("CONTENT_LENGTH", Integer.toString(body.length));
    if (args.length > 5) {
      vars.put("HTTP_IDEMPOTENCY_KEY", args[5]);
    }
    int colon = args[0].lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              args[0].substring(0, colon), Integer.parseInt(args[0].substring(colon + 1))),
          PATIENCE_MS);
      socket.setSoTimeout(PATIENCE_MS);
      socket
          .getOutputStream()
          .write(new UwsgiPacket(UwsgiPacket.REQUEST, 0, vars, body).encode().array());
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      socket.getInputStream().transferTo(all);
      System.exit(print(all.toString(StandardCharsets.UTF_8)));
    } catch (IOException e) {
      System.err.println("ask: no answer from " + args[0] + ": " + e.getMessage());
      System.exit(2);
    }
  }

  private static int print(String reply) {
    int end = reply.indexOf("\r\n\r\n");
    String[] start = reply.split("[ \r]", 3);
    if (end < 0 || start.length < 3 || !start[1].matches("[1-5][0-9][0-9]")) {
      System.err.println("ask: what came is no answer");
      return 2;
    }
    System.out.println(start[1]);
    System.out.println(reply.substring(end + 4));
    return start[1].startsWith("2") ? 0 : 1;
  }
}
