package rosecleat.fakes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A fake of the registry as the protocol page describes it. */
public final class FakeRegistry extends FakeServer {
  /** The received reports: request line and body. */
  public final List<String> reports = new CopyOnWriteArrayList<>();

  /** The status of the response to each report, such as "204"; "" sends no response. */
  public volatile String responseStatus = "204";

  @Override
  protected void serve(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    for (String first = in.readLine(); first != null; first = in.readLine()) {
      int length = 0;
      for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
        length =
            line.startsWith("Content-Length:")
                ? Integer.parseInt(line.substring(15).trim())
                : length;
      }
      char[] body = new char[length];
      for (int at = 0; at < length; ) {
        at += in.read(body, at, length - at);
      }
      reports.add(first + " " + new String(body));
      if (!responseStatus.isEmpty()) {
        socket
            .getOutputStream()
            .write(
                ("HTTP/1.1 " + responseStatus + " Words\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
      }
    }
  }
}
