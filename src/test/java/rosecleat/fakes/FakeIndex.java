package rosecleat.fakes;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A fake of the shared index as the protocol page describes it, with answers given by the test. */
public final class FakeIndex extends FakeServer {
  /** The received command lines. */
  public final List<String> lines = new CopyOnWriteArrayList<>();

  /**
   * The next answers in order: a status word; "cut", which closes the connection; "" for no answer;
   * "wait", which answers HIT after {@link #release}; "raw TEXT", which sends TEXT with the
   * request's id in place of ID. When the list is empty, every answer is HIT.
   */
  public final List<String> answers = new CopyOnWriteArrayList<>();

  /** Releases the answers "wait" when it is counted down. */
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
