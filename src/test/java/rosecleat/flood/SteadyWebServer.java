package rosecleat.flood;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import rosecleat.fakes.UwsgiClient;

/** A web server that sends uwsgi requests at a steady rate and counts their responses. */
final class SteadyWebServer {
  private static final int DEADLINE_MS = 5_000;
  private static final int SLACK_MS = 130;
  private static final long INTERVAL_MS = 100;
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int THREADS = 16;

  private final int port;
  private final byte[] packet;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final List<Long> durationsMs = new CopyOnWriteArrayList<>();
  private final List<String> failures = new CopyOnWriteArrayList<>();

  SteadyWebServer(int port) {
    this.port = port;
    packet =
        UwsgiClient.packet(
            UwsgiClient.vars(
                "GET",
                "/cards/77/balance",
                "aspen-dining",
                "HTTP_X_DEADLINE_MS",
                Integer.toString(DEADLINE_MS),
                "HTTP_COOKIE",
                "c".repeat(500)),
            "");
  }

  /** Sends requests for some time and waits for their responses. */
  void run(long durationMs) throws InterruptedException {
    long untilMs = System.currentTimeMillis() + durationMs;
    ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    while (System.currentTimeMillis() < untilMs) {
      sent.incrementAndGet();
      threads.execute(this::request);
      Thread.sleep(INTERVAL_MS);
    }
    threads.shutdown();
    threads.awaitTermination(2 * DEADLINE_MS, TimeUnit.MILLISECONDS);
    threads.shutdownNow();
  }

  private void request() {
    long sentAtMs = System.currentTimeMillis();
    try {
      int status = UwsgiClient.exchange(port, packet).status();
      long durationMs = System.currentTimeMillis() - sentAtMs;
      durationsMs.add(durationMs);
      if (status == SERVICE_UNAVAILABLE) {
        refused.incrementAndGet();
      } else if (status != OK || durationMs > DEADLINE_MS + SLACK_MS) {
        failures.add(status + " after " + durationMs + " ms");
      }
    } catch (IOException e) {
      failures.add(e.toString());
    }
  }

  int sent() {
    return sent.get();
  }

  /** Returns the number of requests that were refused in time. */
  int refused() {
    return refused.get();
  }

  /** Returns the requests that were neither served nor refused in time. */
  List<String> failures() {
    return failures;
  }

  long longestMs() {
    return durationsMs.stream().mapToLong(Long::longValue).max().orElse(0);
  }
}
