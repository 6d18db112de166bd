package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.CoreSettings;
import rosecleat.core.Counters;
import rosecleat.core.DownstreamClient;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.policy.PolicyEngine;
import rosecleat.runtime.UnavailableRunner;

/** How long the front waits for what a connection owes it, on a clock of the test's own. */
class PatienceTest {
  private static final DownstreamClient NONE =
      new DownstreamClient() {
        @Override
        public void call(String id, long untilUs, byte[] body) {}

        @Override
        public void cancel(String id) {}
      };

  @Test
  void whoSaysNothingOrHalfIsClosedAndWhoAskedOnceMayStay() throws Exception {
    AtomicLong now = new AtomicLong(1_800_000_000_000_000L);
    try (Log log = new Log(System.err);
        EventLoop loop = new EventLoop(log)) {
      Core core = core(now, 30_000_000, log);
      RespFrontend front = front(loop, core, now, log);
      try (RespClient silent = new RespClient(front.port(), null);
          RespClient half = new RespClient(front.port(), null);
          RespClient once = new RespClient(front.port(), null)) {
        half.send("*5\r\n$2\r\nDO\r\n$1\r\n1\r\n".getBytes(StandardCharsets.UTF_8));
        ask(once, 1);
        while (on(loop, front::openConnections) < 3) {
          Thread.yield();
        }
        now.addAndGet(2_100_000);
        sweep(loop, front);
        ask(once, 2);
        now.addAndGet(200_000);
        sweep(loop, front);
        assertNull(silent.read());
        assertNull(half.read());
        ask(once, 3);
        assertEquals(2, core.counters().get("resp.slow"));
      }
    }
  }

  /**
   * Guards honest slow senders: one that has brought a good request may take its time, above all
   * while it is owed.
   */
  @Test
  void whoHasAskedWellMayBeSlowAndIsNotCutOffFromItsAnswer() throws Exception {
    AtomicLong now = new AtomicLong(1_800_000_000_000_000L);
    try (Log log = new Log(System.err);
        EventLoop loop = new EventLoop(log)) {
      Core core = core(now, 30_000_000, log);
      RespFrontend front = front(loop, core, now, log, new Hold());
      byte[] half = "*5\r\n$2\r\nDO\r\n".getBytes(StandardCharsets.UTF_8);
      try (RespClient slow = new RespClient(front.port(), null);
          RespClient owed = new RespClient(front.port(), null)) {
        ask(slow, 1);
        on(
            loop,
            () -> {
              core.start(null, false, 0);
              return 0;
            });
        owed.send(
            RespClient.array(
                "DO",
                1,
                "balance-check",
                "id=00000000000000b1,at="
                    + now.get() / 1000
                    + ",from=1,tenant=small,wait=900000,kb=1,rank=0",
                "b"));
        slow.send(half);
        owed.send(half);
        while (on(loop, front::connectionsMidMessage) < 2) {
          Thread.yield();
        }
        now.addAndGet(9_000_000);
        sweep(loop, front);
        assertEquals(2, on(loop, front::openConnections));
        now.addAndGet(2_000_000);
        sweep(loop, front);
        assertNull(slow.read());
        on(
            loop,
            () -> {
              core.runEnded("00000000000000b1", RunResult.OK, new byte[] {'r'}, 1);
              return 0;
            });
        assertEquals("r", owed.answer().get(3));
      }
    }
  }

  /** A runner that begins all and ends nothing. */
  private static final class Hold implements Runner {
    @Override
    public void start(Request request, long dueUs) {}

    @Override
    public void cancel(String id) {}

    @Override
    public void completeCall(String id, byte[] reply) {}

    @Override
    public void skipCall(String id, long notice) {}
  }

  /** Guards a slow sender: half a message is no idle connection, and is not asked to close. */
  @Test
  void whoIsInTheMiddleOfAMessageIsNotIdle() throws Exception {
    AtomicLong now = new AtomicLong(1_800_000_000_000_000L);
    try (Log log = new Log(System.err);
        EventLoop loop = new EventLoop(log)) {
      Core core = core(now, 50_000, log);
      RespFrontend front = front(loop, core, now, log);
      byte[] request =
          RespClient.array(
              "DO",
              2,
              "balance-check",
              RespClient.fields("00000000000000a2", "small", 900, null),
              "b");
      try (RespClient slow = new RespClient(front.port(), null);
          RespClient idle = new RespClient(front.port(), null)) {
        ask(slow, 1);
        ask(idle, 1);
        slow.send(Arrays.copyOf(request, 20));
        while (on(loop, front::connectionsMidMessage) == 0) {
          Thread.yield();
        }
        now.addAndGet(60_000);
        sweep(loop, front);
        assertEquals("BYE", idle.read().get(1));
        slow.send(Arrays.copyOfRange(request, 20, request.length));
        assertEquals("BUSY", slow.read().get(1));
      }
    }
  }

  /**
   * Guards half a line from a balancer that was asked to close: its rest is answered, however late,
   * until patience ends.
   */
  @Test
  void whoWasAskedToCloseInTheMiddleOfAMessageMayFinishIt() throws Exception {
    AtomicLong now = new AtomicLong(1_800_000_000_000_000L);
    try (Log log = new Log(System.err);
        EventLoop loop = new EventLoop(log)) {
      Core core = core(now, 30_000_000, log);
      RespFrontend front = front(loop, core, now, log);
      byte[] request =
          RespClient.array(
              "DO",
              2,
              "balance-check",
              RespClient.fields("00000000000000a2", "small", 900, null),
              "b");
      try (RespClient slow = new RespClient(front.port(), null);
          RespClient never = new RespClient(front.port(), null)) {
        ask(slow, 1);
        ask(never, 1);
        slow.send(Arrays.copyOf(request, 20));
        never.send(Arrays.copyOf(request, 20));
        while (on(loop, front::connectionsMidMessage) < 2) {
          Thread.yield();
        }
        leave(loop, front);
        assertEquals("BYE", slow.read().get(1));
        now.addAndGet(1_100_000); // longer than one with nothing begun is given
        leave(loop, front);
        slow.send(Arrays.copyOfRange(request, 20, request.length));
        assertEquals("BUSY", slow.read().get(1));
        assertNull(slow.read());
        assertEquals("BYE", never.read().get(1));
        on(
            loop,
            () -> {
              front.closeConnections(); // the time is up: half a message is not waited for, and not
              // reset
              // either
              return 0;
            });
        assertNull(never.read());
      }
    }
  }

  private static void leave(EventLoop loop, RespFrontend front) {
    on(
        loop,
        () -> {
          front.closeIdleConnections(true);
          return 0;
        });
  }

  private static List<RequestClass> classes() {
    return List.of(new RequestClass("balance-check", false, false, 0, 1_000_000));
  }

  private static Core core(AtomicLong now, long idleUs, Log log) {
    NodeConfig config = TestSite.config(0, 0, 0, 3_000, 1_500);
    return new Core(
        new CoreSettings(2, classes(), List.of("small"), 80_000, 1_500_000, idleUs, 1 << 20),
        new PolicyEngine(config.settings().policy(), config.settings().gaugeNames(), 5),
        NONE,
        now::get,
        new Counters(),
        log);
  }

  private static RespFrontend front(EventLoop loop, Core core, AtomicLong now, Log log)
      throws Exception {
    return front(loop, core, now, log, new UnavailableRunner(loop, core));
  }

  private static RespFrontend front(
      EventLoop loop, Core core, AtomicLong now, Log log, Runner runner) throws Exception {
    RespFrontend front =
        new RespFrontend(
            loop,
            new InetSocketAddress("127.0.0.1", 0),
            100,
            core,
            new RequestCatalog(classes(), List.of("small"), runner),
            now::get,
            log);
    front.listen();
    return front;
  }

  private static void ask(RespClient client, int tag) throws Exception {
    client.send(
        RespClient.array(
            "DO",
            tag,
            "balance-check",
            RespClient.fields(String.format("%016x", tag), "small", 900, null),
            "b"));
    assertEquals("BUSY", client.answer().get(1)); // the cores are not up
  }

  private static void sweep(EventLoop loop, RespFrontend front) {
    on(
        loop,
        () -> {
          front.closeIdleConnections(false);
          return 0;
        });
  }

  private static int on(EventLoop loop, java.util.function.Supplier<Integer> task) {
    CompletableFuture<Integer> done = new CompletableFuture<>();
    loop.execute(() -> done.complete(task.get()));
    return done.orTimeout(5, TimeUnit.SECONDS).join();
  }
}
