package rosecleat.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.CoreSettings;
import rosecleat.core.Counters;
import rosecleat.core.DownstreamClient;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.net.LoopGate;
import rosecleat.policy.PolicyEngine;

/**
 * Commands that cross the end of their link, and of the one after it, on a clock of the test's own.
 */
class RuntimeClientTest {
  private static final DownstreamClient NONE =
      new DownstreamClient() {
        @Override
        public void call(String id, long untilUs, byte[] body) {}

        @Override
        public void cancel(String id) {}
      };

  private final Log log = new Log(System.err);
  private final FakeRuntime runtime = new FakeRuntime(1);
  private final AtomicLong now = new AtomicLong(1_800_000_000_000_000L);
  private final Counters counters = new Counters();
  private EventLoop loop;
  private LoopGate gate;
  private Core core;
  private RuntimeClient link;

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop(log);
    gate = new LoopGate(loop);
    NodeConfig config = TestSite.config(0, 0, 0, 3_000, 1_500);
    core =
        new Core(
            new CoreSettings(
                2,
                List.of(new RequestClass("balance-check", false, false, 0, 1_000_000)),
                List.of("small"),
                80_000,
                1_500_000,
                30_000_000,
                1 << 20),
            new PolicyEngine(config.settings().policy(), config.settings().gaugeNames(), 5),
            NONE,
            now::get,
            counters,
            log);
    link =
        new RuntimeClient(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), runtime.port()),
            core,
            now::get,
            log);
    loop.execute(link::connect);
    await(() -> gate.on(core::ready));
  }

  @AfterEach
  void stop() throws IOException {
    gate.close();
    loop.close();
    runtime.close();
    log.close();
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 10_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "it did not come to hold");
      Thread.yield();
    }
  }

  private void start(String id) {
    gate.on(
        () -> {
          link.start(
              new Request(
                  id,
                  now.get(),
                  900_000,
                  0,
                  "balance-check",
                  0,
                  1,
                  false,
                  1,
                  0,
                  null,
                  0,
                  id.getBytes(StandardCharsets.UTF_8),
                  Map.of(),
                  link,
                  answer -> {}),
              now.get() + 900_000);
          return 0;
        });
  }

  private long syncs() {
    synchronized (runtime) {
      return runtime.commands.stream().filter("sync "::equals).count();
    }
  }

  /**
   * Guards a start against two breaks: that the second came much later does not prove that it had
   * arrived by the first.
   */
  @Test
  void aStartThatTheFirstOfTwoBrokenLinksSwallowedIsSentAgain() {
    runtime.swallow = 1;
    start("00000000000000a1");
    await(() -> runtime.swallow == 0);
    runtime.readyAfterMs = 3_600_000; // the second link never comes to tell what had arrived
    runtime.cut();
    await(() -> syncs() == 2);
    now.addAndGet(5_000_000);
    runtime.readyAfterMs = 0;
    runtime.cut();
    await(() -> runtime.started("00000000000000a1"));
    assertEquals(1, gate.on(() -> counters.get("runtime.resent")));
    assertEquals(1, runtime.startsOf("00000000000000a1"));
  }

  /** Guards a start that waited for a link: the one it goes by can break too. */
  @Test
  void aStartKeptForTheNextLinkAndSwallowedByItIsSentAgain() {
    runtime.down();
    await(() -> gate.on(() -> counters.get("runtime.unreached")) > 0);
    start("00000000000000a2");
    runtime.swallow = 1;
    runtime.up();
    await(() -> runtime.swallow == 0);
    runtime.cut();
    await(() -> runtime.started("00000000000000a2"));
    assertEquals(1, runtime.startsOf("00000000000000a2"));
  }

  /**
   * Guards keyed starts: one sent by the new link, while what the old one swallowed is still
   * unknown, is no suspect.
   */
  @Test
  void aStartSentByTheNewLinkIsNotTakenForSwallowedByTheOld() {
    runtime.swallow = 1;
    start("00000000000000a3");
    await(() -> runtime.swallow == 0);
    runtime.down();
    await(() -> gate.on(() -> counters.get("runtime.unreached")) > 0);
    start("00000000000000a4"); // goes out with the new link, before that tells what had arrived
    runtime.up();
    await(() -> runtime.started("00000000000000a3") && runtime.started("00000000000000a4"));
    assertEquals(1, gate.on(() -> counters.get("runtime.resent")));
    synchronized (runtime) {
      assertEquals(1, runtime.commands.stream().filter("start 00000000000000a4"::equals).count());
    }
  }
}
