package rosecleat.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import rosecleat.fakes.RespClient;

/** A connection of a client, which sends requests and reads the answers on a thread of its own. */
final class SoakConnection implements AutoCloseable {
  private static final int MAX_OPEN_REQUESTS = 16;

  /** The first tag of a connection, which its health check uses. */
  private static final String HEALTH_CHECK_TAG = "1";

  private final RespClient client;
  private final Random random;
  private final Map<Integer, SentRequest> byTag = new ConcurrentHashMap<>();
  private final AtomicInteger open = new AtomicInteger();
  private final Thread reader;
  private int lastTag;

  /** When the end of the connection was read; 0 while it is open. */
  volatile long endedNs;

  /**
   * When the answer of the health check arrived; 0 before. The health check is the first message
   * and is answered as soon as it is read, so the node reads this connection by then.
   */
  volatile long readingSinceNs;

  /** Whether the client closed the connection. */
  volatile boolean closedByClient;

  SoakConnection(int port, Random random) throws IOException {
    this.random = random;
    client = new RespClient(port, random.nextInt(4) == 0 ? random : null);
    client.send(RespClient.array("PING", ++lastTag, ""));
    reader = new Thread(this::readAnswers, "soak reader");
    reader.setDaemon(true);
    reader.start();
  }

  boolean ended() {
    return endedNs != 0;
  }

  boolean full() {
    return open.get() >= MAX_OPEN_REQUESTS;
  }

  /** Sends a request, and withdraws one of twenty on average right after sending it. */
  void send(SentRequest request, boolean retry) throws IOException {
    int tag = ++lastTag;
    byTag.put(tag, request);
    open.incrementAndGet();
    request.arrivedNs = System.nanoTime();
    String fields =
        RespClient.fields(
                request.id,
                request.tenant,
                request.waitMs,
                request.key.isEmpty() ? null : request.key)
            + (retry ? ",retry=1" : "");
    byte[] message = RespClient.array("DO", tag, request.requestClass.name(), fields, request.body);
    client.send(java.util.Arrays.copyOf(message, message.length - 1));
    long beforeLastByteNs = System.nanoTime();
    client.send(new byte[] {message[message.length - 1]});
    request.writtenNs = beforeLastByteNs;
    if (random.nextInt(20) == 0) {
      request.withdrawn = true;
      client.send(RespClient.array("UNDO", tag));
    }
  }

  private void readAnswers() {
    try {
      for (List<String> words = client.answer(); words != null; words = client.answer()) {
        answered(words);
      }
    } catch (IOException e) {
      // A reset is an end of the connection like any other.
    }
    endedNs = System.nanoTime();
  }

  private void answered(List<String> words) {
    if (words.get(0).equals(HEALTH_CHECK_TAG)) {
      readingSinceNs = System.nanoTime();
      return;
    }
    SentRequest request = byTag.get(Integer.parseInt(words.get(0)));
    if (request == null) {
      return;
    }
    request.answeredNs = System.nanoTime();
    synchronized (request.answers) {
      request.answers.add(words);
    }
    open.decrementAndGet();
  }

  @Override
  public void close() throws IOException {
    closedByClient = endedNs == 0;
    client.close();
  }

  void join() throws InterruptedException {
    reader.join();
  }
}
