package rosecleat.flood;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import rosecleat.fakes.RespClient;

/** A balancer that sends requests at a steady rate on one connection and counts their answers. */
final class SteadyBalancer {
  private static final int WAIT_MS = 5_000;

  /** By how much an answer may be late: the rules' slack, and 50 ms on sockets. */
  private static final int SLACK_MS = 130;

  private static final long INTERVAL_MS = 50;
  private static final int BODY_BYTES = 2_000;

  private final RespClient client;
  private final long idPrefix;
  private final Map<Integer, Long> sentAtMs = new ConcurrentHashMap<>();
  private final Map<Integer, Long> answeredAtMs = new ConcurrentHashMap<>();

  /** Connects. The prefix distinguishes the ids of several balancers. */
  SteadyBalancer(int port, int idPrefix) throws IOException {
    client = new RespClient(port, null);
    this.idPrefix = (long) idPrefix << 32;
    Thread reader = new Thread(this::readAnswers, "balancer's reader");
    reader.setDaemon(true);
    reader.start();
  }

  /** Sends requests for some time and waits until each is answered or overdue. */
  void run(long durationMs) throws IOException, InterruptedException {
    long untilMs = System.currentTimeMillis() + durationMs;
    for (int tag = 1; System.currentTimeMillis() < untilMs; tag++) {
      String id = "%016x".formatted(idPrefix + tag);
      String fields = RespClient.fields(id, "aspen-dining", WAIT_MS, null);
      sentAtMs.put(tag, System.currentTimeMillis());
      client.send(RespClient.array("DO", tag, "balance-check", fields, "b".repeat(BODY_BYTES)));
      Thread.sleep(INTERVAL_MS);
    }
    long overdueAtMs = System.currentTimeMillis() + WAIT_MS + SLACK_MS;
    while (answeredAtMs.size() < sentAtMs.size() && System.currentTimeMillis() < overdueAtMs) {
      Thread.sleep(INTERVAL_MS);
    }
    client.close();
  }

  private void readAnswers() {
    try {
      for (List<String> words = client.answer(); words != null; words = client.answer()) {
        answeredAtMs.put(Integer.parseInt(words.get(0)), System.currentTimeMillis());
      }
    } catch (IOException e) {
      return; // the connection has ended: what is not answered by now never will be
    }
  }

  int sent() {
    return sentAtMs.size();
  }

  /** Returns the number of requests without an answer by their due time. */
  long unanswered() {
    return sentAtMs.entrySet().stream()
        .filter(
            sent ->
                answeredAtMs.getOrDefault(sent.getKey(), Long.MAX_VALUE)
                    > sent.getValue() + WAIT_MS + SLACK_MS)
        .count();
  }

  /** Returns the longest time until an answer, in milliseconds. */
  long longestMs() {
    return answeredAtMs.entrySet().stream()
        .mapToLong(answered -> answered.getValue() - sentAtMs.get(answered.getKey()))
        .max()
        .orElse(0);
  }
}
