package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.fakes.UwsgiClient;

/**
 * Both protocols at once at 150% of the capacity of the cores. All rules are checked after each
 * request.
 */
class MixedProtocolLoadTest {
  private static final int WORK_MS = 20;
  private static final int WAIT_MS = 900;

  /** The permitted response delay of 130 ms plus an allowance for a busy test machine (ms). */
  private static final long SLACK_MS = 130 + 500;

  private static final int GRACE_MS = 600;
  private static final int STOP_MS = 3_000;
  private static final int MAX_OPEN_REQUESTS = 32;

  /** A request as sent. Its due time is the latest time of its response without slack. */
  private record Sent(String body, boolean uwsgi, long dueMs, boolean afterGrace) {}

  /** Checks the rules on each response, and counts violations. */
  private final class RuleChecker {
    final Map<String, Integer> violations = new ConcurrentHashMap<>();
    final Map<String, Integer> served = new ConcurrentHashMap<>();
    final Map<String, Integer> sentCounts = new ConcurrentHashMap<>();
    final Map<Sent, Integer> answers = new ConcurrentHashMap<>();

    void recordViolation(String rule, Sent sent) {
      violations.merge(rule + (sent == null ? "" : " " + sent.body), 1, Integer::sum);
    }

    /**
     * Checks a response.
     *
     * @param word OK, BUSY or FAILED, for both protocols
     */
    void answered(Sent sent, String word, String body) {
      if (answers.merge(sent, 1, Integer::sum) > 1) {
        recordViolation("answered twice", sent);
      }
      if (System.currentTimeMillis() > sent.dueMs + SLACK_MS) {
        recordViolation("late", sent);
      }
      long starts = harness.runtime.startsOf(sent.body);
      if (starts > 1) {
        recordViolation("run twice", sent);
      }
      if (word.equals("OK")) {
        served.merge(sent.uwsgi ? "uwsgi" : "resp", 1, Integer::sum);
        if (starts == 0 || !body.equals(FakeRuntime.result(sent.body))) {
          recordViolation("served with a result that no run returned", sent);
        }
      }
      // Another attempt with the same key may run a load.
      if (word.equals("BUSY") && starts > 0 && !sent.body.startsWith("load")) {
        recordViolation("rejected after it ran", sent);
      }
      if (sent.afterGrace && starts > 0 && !sent.body.startsWith("load")) {
        recordViolation("run after the grace period", sent);
      }
    }
  }

  /** A balancer's connection and the task that reads its responses. */
  private final class Balancer {
    private final RespClient client;
    private final Map<Long, Sent> open = new ConcurrentHashMap<>();
    private final Semaphore freeSlots = new Semaphore(MAX_OPEN_REQUESTS);
    private volatile boolean leaving;
    private long lastTag;

    Balancer() throws IOException {
      client = new RespClient(harness.node.port(), null);
      pool.execute(this::read);
    }

    private void read() {
      try {
        for (List<String> words = client.read(); words != null; words = client.read()) {
          if (words.get(1).equals("BYE")) {
            leaving = true;
          } else {
            freeSlots.release();
            Sent sent = open.remove(Long.parseLong(words.get(0)));
            if (sent == null) {
              rules.recordViolation("response without a request", null);
            } else {
              rules.answered(sent, words.get(1), words.get(3));
            }
          }
          if (leaving && open.isEmpty()) {
            client.close();
            return;
          }
        }
      } catch (IOException e) {
        open.values().forEach(sent -> rules.recordViolation("connection broken under", sent));
      }
    }

    void send(Sent sent, String className, String key) {
      if (leaving || !freeSlots.tryAcquire()) {
        return;
      }
      rules.sentCounts.merge("resp", 1, Integer::sum);
      long tag = ++lastTag;
      open.put(tag, sent);
      try {
        client.send(
            RespClient.array(
                "DO",
                tag,
                className,
                RespClient.fields(String.format("%016x", ids++), "small", WAIT_MS, key),
                sent.body));
      } catch (IOException e) {
        rules.recordViolation("connection closed under", sent);
      }
    }
  }

  @TempDir Path folder;
  private final ExecutorService pool = Executors.newCachedThreadPool();
  private final RuleChecker rules = new RuleChecker();
  private final List<Sent> all = new ArrayList<>();
  private NodeHarness harness;
  private long ids = 1;

  @Test
  void bothProtocolsFollowTheRulesUnderOverloadAndNeitherStarves() throws Exception {
    harness = new NodeHarness(WORK_MS, STOP_MS, GRACE_MS, folder);
    try {
      List<Balancer> balancers = List.of(new Balancer(), new Balancer());
      double perSecond = 1.5 * TestSite.CORES * 1000 / WORK_MS;
      long gap = (long) (1e9 / perSecond);
      long start = System.nanoTime();
      int count = (int) (4 * perSecond);
      for (int i = 0; i < count; i++) {
        pace(start + i * gap);
        sendRequest(i, balancers, false);
        assertEquals(Map.of(), rules.violations, "after request " + i);
      }
      checkServedShares();

      Semaphore left = new Semaphore(0);
      long notice = System.nanoTime();
      harness.node.beginShutdown(left::release);
      for (int i = 0; i < perSecond; i++) { // one more second, beyond the end of the grace period
        pace(notice + i * gap);
        sendRequest(
            count + i, balancers, System.nanoTime() - notice > (GRACE_MS + 100) * 1_000_000L);
        assertEquals(Map.of(), rules.violations, "after request " + i + " of the drain");
      }
      assertTrue(left.tryAcquire(STOP_MS, TimeUnit.MILLISECONDS), "shutdown not completed in time");
      checkEveryRequestWasAnswered();
    } finally {
      pool.shutdownNow();
      harness.close();
    }
  }

  /** Both protocols are overloaded, and neither is served a much larger share than the other. */
  private void checkServedShares() {
    int sentResp = rules.sentCounts.get("resp");
    int sentUwsgi = rules.sentCounts.get("uwsgi");
    double resp = (double) rules.served.getOrDefault("resp", 0) / sentResp;
    double uwsgi = (double) rules.served.getOrDefault("uwsgi", 0) / sentUwsgi;
    assertTrue(resp > 0.25 && uwsgi > 0.25, "served: resp " + resp + ", uwsgi " + uwsgi);
    assertTrue(resp < 0.95 && uwsgi < 0.95, "no overload: resp " + resp + ", uwsgi " + uwsgi);
    assertTrue(
        Math.max(resp, uwsgi) < 2 * Math.min(resp, uwsgi),
        "served: resp " + resp + ", uwsgi " + uwsgi);
  }

  private void checkEveryRequestWasAnswered() throws InterruptedException {
    pool.shutdown();
    assertTrue(pool.awaitTermination(10, TimeUnit.SECONDS));
    all.stream()
        .filter(sent -> !rules.answers.containsKey(sent))
        .forEach(sent -> rules.recordViolation("lost", sent));
    assertEquals(Map.of(), rules.violations);
  }

  private static void pace(long until) throws InterruptedException {
    long ns = until - System.nanoTime();
    if (ns > 0) {
      TimeUnit.NANOSECONDS.sleep(ns);
    }
  }

  /** Sends a request by one of the protocols. A load is sent by both, with the same key. */
  private void sendRequest(int i, List<Balancer> balancers, boolean afterGrace) {
    boolean load = i % 10 == 0;
    String body = (load ? "load" : "read") + i;
    String key = "key" + i;
    if (load || i % 2 == 1) {
      Sent sent = new Sent(body, true, System.currentTimeMillis() + WAIT_MS, afterGrace);
      pool.execute(() -> uwsgi(sent, load, key));
    }
    if (load || i % 2 == 0) {
      Sent sent = new Sent(body, false, System.currentTimeMillis() + WAIT_MS, afterGrace);
      Balancer balancer = balancers.get(i / 2 % balancers.size());
      balancer.send(sent, load ? "card-load" : "balance-check", load ? key : null);
      if (balancer.open.containsValue(sent)) {
        all.add(sent);
      }
    }
  }

  private void uwsgi(Sent sent, boolean load, String key) {
    Map<String, String> vars =
        new LinkedHashMap<>(
            load
                ? UwsgiClient.vars("POST", "/cards/loads", "till", "HTTP_IDEMPOTENCY_KEY", key)
                : UwsgiClient.vars("GET", "/cards/x/balance", "till"));
    vars.put("HTTP_X_DEADLINE_MS", Integer.toString(WAIT_MS));
    try (Socket socket = UwsgiClient.open(harness.uwsgiPort)) {
      rules.sentCounts.merge("uwsgi", 1, Integer::sum);
      socket.getOutputStream().write(UwsgiClient.packet(vars, sent.body));
      UwsgiClient.Reply reply = UwsgiClient.read(socket);
      boolean neverRan = reply.header("X-Progress").equals("never-ran");
      rules.answered(
          sent,
          reply.status() == 200 ? "OK" : reply.status() == 503 || neverRan ? "BUSY" : "FAILED",
          reply.body());
      if (reply.status() != 200 && reply.status() != 503 && reply.status() != 504) {
        rules.recordViolation("answered " + reply.status(), sent);
      }
    } catch (java.net.ConnectException e) {
      // Nothing ran on a connection that was refused.
      if (!harness.ask(core -> core.gracePeriodEnded())) {
        rules.recordViolation("not accepted", sent);
      }
    } catch (IOException e) {
      rules.recordViolation("connection broken under", sent);
    }
  }
}
