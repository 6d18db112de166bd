package rosecleat.front.uwsgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.CoreSettings;
import rosecleat.core.Counters;
import rosecleat.core.DownstreamClient;
import rosecleat.core.Request;
import rosecleat.fakes.FakeUwsgiService;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.net.LoopGate;
import rosecleat.net.MonotonicClock;
import rosecleat.policy.PolicyEngine;

/** What the client makes of a request that its connection's queue would not have held. */
class UwsgiRunnerTest {
  private static final DownstreamClient NONE =
      new DownstreamClient() {
        @Override
        public void call(String id, long untilUs, byte[] body) {}

        @Override
        public void cancel(String id) {}
      };

  /**
   * Guards large bodies, which the limits of the broker's file may allow: one over 1 MiB was never
   * sent, and told as cut off.
   */
  @Test
  void aBodyOfTwoMebibytesReachesItsBackend() throws Exception {
    try (Log log = new Log(System.err);
        EventLoop loop = new EventLoop(log);
        LoopGate gate = new LoopGate(loop);
        FakeUwsgiService backend = new FakeUwsgiService()) {
      MonotonicClock clock = new MonotonicClock();
      Counters counters = new Counters();
      NodeConfig config = TestSite.config(0, 0, 0, 3_000, 1_500);
      Core core =
          new Core(
              new CoreSettings(2, List.of(), List.of(), 80_000, 1_500_000, 30_000_000, 1 << 20),
              new PolicyEngine(config.settings().policy(), config.settings().gaugeNames(), 5),
              NONE,
              clock,
              counters,
              log);
      UwsgiRunner runner = new UwsgiRunner(loop, core, clock, 1 << 20, InstanceBalancer.NONE);
      long now = System.currentTimeMillis() * 1000;
      gate.on(
          () -> {
            runner.start(
                new Request(
                    "00000000000000c1",
                    now,
                    5_000_000,
                    0,
                    "file-write",
                    0,
                    1,
                    false,
                    1,
                    0,
                    null,
                    0,
                    new byte[2 << 20],
                    Map.of(RunAttributes.BACKEND_ADDRESS, "127.0.0.1:" + backend.port()),
                    runner,
                    answer -> {}),
                now + 5_000_000);
            return 0;
          });
      long end = System.nanoTime() + 10_000_000_000L;
      while (gate.on(() -> counters.get("backend.ok") + counters.get("backend.cut")) == 0) {
        assertTrue(System.nanoTime() < end, gate.on(counters::toString));
        Thread.yield();
      }
      assertEquals(1, gate.on(() -> counters.get("backend.ok")), gate.on(counters::toString));
      assertEquals(1, backend.requests.get());
    }
  }
}
