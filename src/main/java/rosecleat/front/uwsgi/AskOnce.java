package rosecleat.front.uwsgi;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A command-line client for {@code make ask}. Sends one uwsgi request in the form that web servers
 * use, and prints the status and the body of the response.
 *
 * <p>Arguments: {@code HOST:PORT METHOD PATH TEAM [BODY [KEY]]}. The exit code is 0 for a status of
 * 2xx, 1 for any other status, and 2 if the arguments are invalid or no valid response is received.
 */
public final class AskOnce {
  private static final int TIMEOUT_MS = 15_000;
  private static final int EXIT_SUCCESS = 0;
  private static final int EXIT_OTHER_STATUS = 1;
  private static final int EXIT_NO_RESPONSE = 2;
  private static final int MIN_ARGUMENTS = 4;
  private static final int MAX_ARGUMENTS = 6;
  private static final String HEAD_END = "\r\n\r\n";

  private AskOnce() {}

  /** Sends the request that the arguments describe, and exits the process. */
  public static void main(String[] arguments) {
    if (arguments.length < MIN_ARGUMENTS
        || arguments.length > MAX_ARGUMENTS
        || !arguments[0].matches(".+:[0-9]{1,5}")) {
      System.err.println("ask: HOST:PORT METHOD PATH TEAM [BODY [KEY]]");
      System.exit(EXIT_NO_RESPONSE);
    }
    try {
      System.exit(print(exchange(address(arguments[0]), encode(arguments))));
    } catch (IOException e) {
      System.err.println("ask: no answer from " + arguments[0] + ": " + e.getMessage());
      System.exit(EXIT_NO_RESPONSE);
    }
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  private static ByteBuffer encode(String[] arguments) {
    byte[] body = (arguments.length > 4 ? arguments[4] : "").getBytes(StandardCharsets.UTF_8);
    Map<String, String> vars = new LinkedHashMap<>();
    vars.put("REQUEST_METHOD", arguments[1]);
    vars.put("REQUEST_URI", arguments[2]);
    vars.put("HTTP_X_TEAM", arguments[3]);
    vars.put("CONTENT_LENGTH", Integer.toString(body.length));
    if (arguments.length > 5) {
      vars.put("HTTP_IDEMPOTENCY_KEY", arguments[5]);
    }
    return new UwsgiPacket(UwsgiPacket.MODIFIER_REQUEST, 0, vars, body).encode().orElseThrow();
  }

  private static String exchange(InetSocketAddress address, ByteBuffer packet) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MS);
      socket.setSoTimeout(TIMEOUT_MS);
      byte[] request = new byte[packet.remaining()];
      packet.get(request);
      socket.getOutputStream().write(request);
      ByteArrayOutputStream response = new ByteArrayOutputStream();
      socket.getInputStream().transferTo(response);
      return response.toString(StandardCharsets.UTF_8);
    }
  }

  private static int print(String response) {
    int headEnd = response.indexOf(HEAD_END);
    String[] statusLine = response.split("[ \r]", 3);
    if (headEnd < 0 || statusLine.length < 3 || !statusLine[1].matches("[1-5][0-9][0-9]")) {
      System.err.println("ask: what came is no answer");
      return EXIT_NO_RESPONSE;
    }
    System.out.println(statusLine[1]);
    System.out.println(response.substring(headEnd + HEAD_END.length()));
    return statusLine[1].startsWith("2") ? EXIT_SUCCESS : EXIT_OTHER_STATUS;
  }
}
