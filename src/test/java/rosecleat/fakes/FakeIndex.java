package rosecleat.fakes;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** The shared index as PROTOCOL describes it; says what the test tells it to. */
public final class FakeIndex extends FakeServer {
  /** The lines that came. */
  public final List<String> lines = new CopyOnWriteArrayList<>();

  /**
   * The next answers, first to last: a word, "cut" to break the connection, "" for silence, "wait",
   * "raw TEXT" with ID in it; then HIT.
   */
  public final List<String> answers = new CopyOnWriteArrayList<>();

  /** Lets go the answers that wait. */
  public volatile CountDownLatch release = new CountDownLatch(1);

  @Override
  protected void serve(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      lines.add(line);
      String[] words = line.split(" ");
      if (words[0].equals("STOP")) {
        continue;
      }
      byte[] body = new byte[Integer.parseInt(words[3]) + 2];
      in.readFully(body);
      String answer = answers.isEmpty() ? "HIT" : answers.remove(0);
      if (answer.equals("cut")) {
        return;
      }
      if (answer.startsWith("raw ")) {
        socket
            .getOutputStream()
            .write(
                answer.substring(4).replace("ID", words[1]).getBytes(StandardCharsets.ISO_8859_1));
        continue;
      }
      if (answer.equals("wait")) {
        try {
          release.await();
        } catch (InterruptedException e) {
          return;
        }
        answer = "HIT";
      }
      String reply = "reply to " + new String(body, 0, body.length - 2, StandardCharsets.UTF_8);
      String text =
          words[1]
              + " "
              + answer
              + (answer.equals("HIT") ? " " + reply.length() + "\r\n" + reply : "");
      if (!answer.isEmpty()) {
        socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.UTF_8));
      }
    }
  }

  private static String line(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
      line.append((char) c);
    }
    return line.toString().trim();
  }
}
