package rosecleat.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A balancer that sends requests until its connection ends, also after SIGTERM, BYE and the
 * registry's {@code off}. Then it reconnects while a process listens.
 */
final class SoakClient implements Runnable {
  private static final int MIN_WAIT_MS = 30;

  /** A retry of a keyed request is sent within this fraction of the key's window. */
  private static final int RETRY_WINDOW_PART = 4;

  private final SoakPlan plan;
  private final int number;
  private final int port;
  private final Random random;
  final List<SentRequest> requests = new ArrayList<>();
  final List<SoakConnection> connections = new ArrayList<>();
  private volatile boolean stopping;
  private final boolean nodeMayStart;
  private final AtomicInteger burst = new AtomicInteger();
  private int lastId;

  SoakClient(SoakPlan plan, int number, int port) {
    this.plan = plan;
    this.number = number;
    this.port = port;
    random = new Random(31 * plan.seed() + number);
    nodeMayStart = plan.terminatedInStart();
  }

  void stop() {
    stopping = true;
  }

  /** Sends the next {@code count} requests without pauses. */
  void burst(int count) {
    burst.set(count);
  }

  @Override
  public void run() {
    boolean connected = true;
    while (!stopping && (connected || nodeMayStart)) {
      connected = useOneConnection();
    }
  }

  /** Returns whether a connection was established. */
  private boolean useOneConnection() {
    SoakConnection connection;
    try {
      connection = new SoakConnection(port, random);
    } catch (IOException e) {
      pause();
      return false; // No process listens yet, or none listens any more.
    }
    connections.add(connection);
    try {
      while (!connection.ended() && !stopping) {
        if (!connection.full()) {
          send(connection);
        }
        pause();
      }
    } catch (IOException e) {
      // The connection ended while a request was written, which is therefore incomplete.
    }
    return true;
  }

  private void pause() {
    if (burst.get() > 0) {
      burst.decrementAndGet();
      return;
    }
    try {
      TimeUnit.MILLISECONDS.sleep(random.nextInt(2 * plan.pauseMs()));
    } catch (InterruptedException e) {
      stopping = true;
    }
  }

  private void send(SoakConnection connection) throws IOException {
    SentRequest earlier = random.nextInt(4) == 0 ? recentKeyedRequest() : null;
    SentRequest request = earlier == null ? newRequest(connection) : retry(earlier, connection);
    requests.add(request);
    connection.send(request, earlier != null);
  }

  private SentRequest newRequest(SoakConnection connection) {
    RequestClassPlan requestClass = plan.classes().get(random.nextInt(plan.classes().size()));
    String id = nextId();
    return new SentRequest(
        requestClass,
        id,
        requestClass.keyed() ? "key" + id : "",
        "body-" + id,
        random.nextBoolean() ? "small" : "big",
        waitMs(requestClass),
        connection);
  }

  private SentRequest retry(SentRequest earlier, SoakConnection connection) {
    return new SentRequest(
        earlier.requestClass,
        nextId(),
        earlier.key,
        earlier.body,
        earlier.tenant,
        waitMs(earlier.requestClass),
        connection);
  }

  /** Returns a recent keyed request, so that all its attempts fall into one window, or null. */
  private SentRequest recentKeyedRequest() {
    if (requests.isEmpty()) {
      return null;
    }
    SentRequest candidate =
        requests.get(requests.size() - 1 - random.nextInt(Math.min(8, requests.size())));
    if (candidate.key.isEmpty()) {
      return null;
    }
    SentRequest first =
        requests.stream().filter(each -> each.key.equals(candidate.key)).findFirst().orElseThrow();
    long ageMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - first.arrivedNs);
    return ageMs < candidate.requestClass.windowMs() / RETRY_WINDOW_PART ? first : null;
  }

  private int waitMs(RequestClassPlan requestClass) {
    int maxMs = requestClass.deadlineMs();
    return random.nextInt(10) == 0
        ? MIN_WAIT_MS + random.nextInt(MIN_WAIT_MS)
        : maxMs / 2 + random.nextInt(maxMs / 2);
  }

  private String nextId() {
    return String.format("%08x%08x", number + 1, ++lastId);
  }
}
