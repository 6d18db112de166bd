package rosecleat.measure;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import rosecleat.fakes.RespClient;

/**
 * Load on a broker from its start on: first the requests that accumulated while it was down, all at
 * once, then arrivals drawn from a seed. Latencies are measured from the scheduled send time.
 */
final class StartLoad {
  /** The number of requests that accumulated while the broker was down and are sent at once. */
  static final int WAITING_REQUESTS = 40;

  /** The latency objective (ms). */
  static final int OBJECTIVE_MS = 800;

  private static final int DEADLINE_MS = 1_200;
  private static final long CONNECT_TIMEOUT_NS = 15_000_000_000L;
  private static final long MAX_LATENCY_US = 60_000_000;
  private static final long MISS_INTERVAL_NS = 500_000_000;

  /**
   * The results of one start.
   *
   * @param sent number of requests
   * @param inObjective number of requests that were served within the objective
   * @param p99Ms 99th percentile of the latency (ms)
   * @param responses number of responses by status
   * @param missesByHalfSecond numbers of missed objectives by send time, per half second
   */
  record Outcome(
      int sent,
      int inObjective,
      double p99Ms,
      Map<String, Integer> responses,
      String missesByHalfSecond) {
    int missed() {
      return sent - inObjective;
    }
  }

  private final RespClient client;
  private final int durationMs;
  private final double ratePerS;
  private final long seed;

  /** The scheduled send times of unanswered requests (ns), by tag. */
  private final Map<Integer, Long> awaited = new ConcurrentHashMap<>();

  private long startNs;
  // Guarded by latency, since a separate thread reads the responses.
  private final Histogram latency = new Histogram(MAX_LATENCY_US, 3);
  private final Map<String, Integer> responses = new TreeMap<>();
  private final int[] missesByInterval;
  private int inObjective;

  private StartLoad(RespClient client, int durationMs, double ratePerS, long seed) {
    this.client = client;
    this.durationMs = durationMs;
    this.ratePerS = ratePerS;
    this.seed = seed;
    missesByInterval = new int[2 * durationMs / 1000 + 1];
  }

  /**
   * Connects as soon as the broker listens, sends, and waits for responses.
   *
   * @param port where the broker listens
   * @param durationMs how long requests are sent (ms)
   * @param responseWaitMs how long responses are awaited after that (ms); 0 leaves the connection
   *     open
   */
  static Outcome run(int port, int durationMs, int responseWaitMs, double ratePerS, long seed)
      throws Exception {
    StartLoad load = new StartLoad(connect(port), durationMs, ratePerS, seed);
    Thread reader = new Thread(load::readResponses, "responses");
    load.startNs = System.nanoTime();
    reader.setDaemon(true);
    reader.start();
    int sent = load.send();
    Thread.sleep(responseWaitMs);
    if (responseWaitMs > 0) {
      load.client.close();
    }
    return load.outcome(sent);
  }

  private static RespClient connect(int port) throws Exception {
    long deadlineNs = System.nanoTime() + CONNECT_TIMEOUT_NS;
    while (true) {
      try {
        RespClient client = new RespClient(port, null);
        client.send(RespClient.array("PING", 1, ""));
        if (client.read() != null) {
          return client;
        }
      } catch (IOException e) {
        if (System.nanoTime() > deadlineNs) {
          throw e;
        }
      }
      Thread.sleep(5);
    }
  }

  private int send() throws Exception {
    Random random = new Random(seed);
    long nextNs = startNs;
    int tag = 0;
    while (nextNs - startNs < durationMs * 1_000_000L) {
      long waitNs = nextNs - System.nanoTime();
      if (waitNs > 0) {
        TimeUnit.NANOSECONDS.sleep(waitNs);
      }
      tag++;
      boolean idempotent = random.nextInt(10) == 0;
      String tenant = random.nextInt(3) == 0 ? "small" : "big";
      awaited.put(tag, nextNs);
      client.send(request(tag, idempotent, tenant));
      if (tag >= WAITING_REQUESTS) {
        nextNs += (long) (-Math.log(1 - random.nextDouble()) / ratePerS * 1e9);
      }
    }
    return tag;
  }

  private byte[] request(int tag, boolean idempotent, String tenant) {
    return RespClient.array(
        "DO",
        tag,
        idempotent ? "card-load" : "balance-check",
        RespClient.fields(
            String.format("%016x", seed << 32 | tag),
            tenant,
            DEADLINE_MS,
            idempotent ? "k" + seed + "-" + tag : null),
        "body");
  }

  private void readResponses() {
    try {
      for (List<String> words = client.answer(); words != null; words = client.answer()) {
        Long sentNs = awaited.remove(Integer.parseInt(words.get(0)));
        if (sentNs != null) {
          record(words.get(1), sentNs);
        }
      }
    } catch (IOException e) {
      return; // The connection is closed at the end of the load.
    }
  }

  private void record(String status, long sentNs) {
    long latencyUs = (System.nanoTime() - sentNs) / 1000;
    boolean served = status.equals("OK");
    boolean withinObjective = served && latencyUs <= OBJECTIVE_MS * 1000L;
    synchronized (latency) {
      // A failed request counts with its deadline, the longest time that a client waits for it.
      latency.recordValue(served ? Math.min(latencyUs, MAX_LATENCY_US) : DEADLINE_MS * 1000L);
      responses.merge(served && !withinObjective ? "late" : status, 1, Integer::sum);
      if (withinObjective) {
        inObjective++;
      } else {
        long interval = (sentNs - startNs) / MISS_INTERVAL_NS;
        missesByInterval[(int) Math.min(missesByInterval.length - 1, interval)]++;
      }
    }
  }

  private Outcome outcome(int sent) {
    synchronized (latency) {
      for (int unanswered = awaited.size(); unanswered > 0; unanswered--) {
        latency.recordValue(MAX_LATENCY_US);
      }
      return new Outcome(
          sent,
          inObjective,
          latency.getValueAtPercentile(99) / 1000.0,
          responses,
          Arrays.toString(missesByInterval));
    }
  }
}
