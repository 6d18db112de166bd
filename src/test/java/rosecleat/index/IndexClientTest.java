package rosecleat.index;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.CoreSettings;
import rosecleat.core.Counters;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeIndex;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.net.LoopGate;
import rosecleat.net.MonotonicClock;
import rosecleat.policy.PolicyEngine;

/** Calls made while the connection on which they would be sent is ending. */
class IndexClientTest {
  private final Log log = new Log(System.err);
  private final FakeIndex index = new FakeIndex();
  private final Counters counters = new Counters();
  private EventLoop loop;
  private LoopGate gate;
  private IndexClient client;

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop(log);
    gate = new LoopGate(loop);
    MonotonicClock clock = new MonotonicClock();
    client =
        new IndexClient(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), index.port()),
            clock,
            counters,
            log);
    NodeConfig config = TestSite.config(0, 0, 0, 3_000, 1_500);
    client.setCore(
        new Core(
            new CoreSettings(2, List.of(), List.of(), 80_000, 1_500_000, 30_000_000, 1 << 20),
            new PolicyEngine(config.settings().policy(), config.settings().gaugeNames(), 5),
            client,
            clock,
            counters,
            log));
  }

  @AfterEach
  void stop() throws IOException {
    gate.close();
    loop.close();
    index.close();
    log.close();
  }

  private void call(String id) {
    client.call(id, System.currentTimeMillis() * 1000 + 5_000_000, new byte[] {'c'});
  }

  private void awaitCount(String counter, long count) {
    Await.until(() -> gate.call(() -> counters.get(counter)) >= count);
  }

  /**
   * A call that was not sent never ran, and must not count as interrupted. The end of the idle
   * connection and the call reach the event loop in the same iteration: the connection has ended,
   * but its handler is notified only after the call.
   */
  @Test
  void callIsNotSentOnClosedConnectionBeforeItsHandlerRuns() throws Exception {
    gate.run(
        () -> {
          call("00000000000000a1");
        });
    awaitCount("index.replies", 1);
    gate.hold();
    index.cut();
    gate.settle();
    loop.execute(() -> call("00000000000000a2"));
    gate.release();
    awaitCount("index.replies", 2);
    assertEquals(
        0,
        gate.call(() -> counters.get("index.lost")),
        "a call that was never sent counts as interrupted");
    assertEquals(2, gate.call(() -> counters.get("index.calls")));
    assertEquals(2, gate.call(() -> counters.get("index.connections")));
  }
}
