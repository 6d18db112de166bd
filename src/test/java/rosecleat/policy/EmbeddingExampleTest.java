package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compiles and runs the example host of the README. */
class EmbeddingExampleTest {
  // README example begins
  /** One server's host: owns the clock and the work, and runs everything on one thread. */
  static final class Server implements PolicyActions {
    final Policy policy;
    final Map<Long, Runnable> work = new HashMap<>();
    final ArrayDeque<Long> toRun = new ArrayDeque<>();
    final List<String> answers = new ArrayList<>();
    long wakeInUs;

    Server(PolicySettings settings, long seed) {
      policy = new Policy(settings, seed, this);
    }

    void receive(long now, PolicyRequest request, Runnable job) {
      work.put(request.id(), job); // before the event: the policy may answer or run it at once
      policy.arrived(now, request);
    }

    void runNext(long started, long ended) {
      long id = toRun.remove();
      work.remove(id).run();
      answers.add("served " + id);
      policy.ended(ended, id, Outcome.OK, ended - started);
    }

    @Override
    public void run(long id) {
      toRun.add(id);
    }

    @Override
    public void reject(long id, long retryAfterUs, boolean noRetry) {
      answers.add("rejected " + id);
      work.remove(id);
    }

    @Override
    public void fail(long id) {
      answers.add("failed " + id);
    }

    @Override
    public void startTimer(long inUs, long tag) {
      wakeInUs = inUs; // the host calls policy.timerFired(now, tag, gauges) then
    }

    @Override
    public void cancel(long id) {}

    @Override
    public void call(long id, long untilUs) {}

    @Override
    public void skipCall(long id) {}

    @Override
    public void rememberKey(long id, long forUs) {}

    @Override
    public void forgetKey(long id) {}

    @Override
    public void replayResult(long id) {}

    @Override
    public void setHealth(boolean good, boolean fromStore) {}

    @Override
    public void setLoadAdvice(double value) {}

    @Override
    public void setIdleTimeout(long us) {}

    @Override
    public void log(String line) {
      System.err.println(line);
    }
  }

  static PolicySettings settings() {
    PriorityClass page =
        new PriorityClass(1, 0, 1_000_000, 0, 3_000_000, Idempotency.SAFE, 0, false, 0);
    return new PolicySettings(
        4,
        10,
        3,
        false,
        1,
        0,
        2_000_000,
        8,
        0,
        6,
        2_000_000,
        2_000_000,
        60_000,
        true,
        true,
        false,
        false,
        1,
        CancelMode.OFF,
        LoadAdviceMode.OFF,
        0,
        0,
        false,
        false,
        0,
        0,
        DownstreamMode.OFF,
        0,
        0,
        0,
        1_000,
        List.of(page),
        List.of());
  }

  // README example ends

  @Test
  void exampleServesRequest() {
    Server server = new Server(settings(), 42);
    server.policy.start(0);
    server.receive(
        1_000,
        new PolicyRequest(1, 0, 0, 0, 3_000_000, 0, 16, 0, false, false, 1, 500, 0),
        () -> {});
    server.runNext(1_000, 41_000);
    assertEquals(List.of("served 1"), server.answers);
    assertEquals(20_000, server.wakeInUs);
  }
}
