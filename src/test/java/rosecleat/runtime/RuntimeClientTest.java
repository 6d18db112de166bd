package rosecleat.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.DeliveryGuarantee;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.TestCore;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.net.LoopGate;
import rosecleat.policy.Idempotency;

/**
 * Commands that cross the end of their client, and of the one after it, on a clock of the test's
 * own.
 */
class RuntimeClientTest {
  private final Log log = new Log(System.err);
  private final FakeRuntime runtime = new FakeRuntime(1);
  private final AtomicLong now = new AtomicLong(1_800_000_000_000_000L);
  private Counters counters;
  private EventLoop loop;
  private LoopGate gate;
  private Core core;
  private RuntimeClient client;

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop(log);
    gate = new LoopGate(loop);
    core =
        TestCore.create(
            List.of(new RequestClass("balance-check", Idempotency.SAFE, false, 0, 1_000_000)),
            List.of("small"),
            30_000_000,
            now::get,
            log);
    counters = core.counters();
    client =
        new RuntimeClient(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), runtime.port()),
            core,
            now::get,
            log);
    loop.execute(client::connect);
    Await.until(() -> gate.call(core::ready));
  }

  @AfterEach
  void stop() throws IOException {
    gate.close();
    loop.close();
    runtime.close();
    log.close();
  }

  private void start(String id) {
    gate.run(
        () -> {
          client.start(
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
                  client,
                  answer -> {}),
              DeliveryGuarantee.AT_LEAST_ONCE,
              now.get() + 900_000);
        });
  }

  private long syncs() {
    return commands("sync ");
  }

  /**
   * That the second connection broke much later does not prove that the start had arrived by the
   * first.
   */
  @Test
  void startLostOnFirstOfTwoBrokenConnectionsIsResent() {
    runtime.swallow = 1;
    start("00000000000000a1");
    Await.until(() -> runtime.swallow == 0);
    runtime.readyAfterMs = 3_600_000; // the second connection is never ready
    runtime.cut();
    Await.until(() -> syncs() == 2);
    now.addAndGet(5_000_000);
    runtime.readyAfterMs = 0;
    runtime.cut();
    Await.until(() -> runtime.started("00000000000000a1"));
    assertEquals(1, gate.call(() -> counters.get("runtime.resent")));
    assertEquals(1, runtime.startsOf("00000000000000a1"));
  }

  /** Guards a start that waited for a client: the one it goes by can break too. */
  @Test
  void queuedStartLostOnNextConnectionIsResent() {
    runtime.down();
    Await.until(() -> gate.call(() -> counters.get("runtime.unreached")) > 0);
    start("00000000000000a2");
    runtime.swallow = 1;
    runtime.up();
    Await.until(() -> runtime.swallow == 0);
    runtime.cut();
    Await.until(() -> runtime.started("00000000000000a2"));
    assertEquals(1, runtime.startsOf("00000000000000a2"));
  }

  /**
   * Guards keyed starts: one sent by the new client, while what the old one swallowed is still
   * unknown, is no suspect.
   */
  @Test
  void startSentOnNewConnectionIsNotInDoubt() {
    runtime.swallow = 1;
    start("00000000000000a3");
    Await.until(() -> runtime.swallow == 0);
    runtime.down();
    Await.until(() -> gate.call(() -> counters.get("runtime.unreached")) > 0);
    start("00000000000000a4"); // goes out with the new client, before that tells what had arrived
    runtime.up();
    Await.until(() -> runtime.started("00000000000000a3") && runtime.started("00000000000000a4"));
    assertEquals(1, gate.call(() -> counters.get("runtime.resent")));
    assertEquals(1, commands("start 00000000000000a4"));
  }

  /**
   * Lines of one connection arrive in order: gauges that were answered prove that every command
   * written before their request was read, however soon the connection breaks after that.
   */
  @Test
  void startSentBeforeAnsweredGaugesRequestIsNotInDoubt() {
    runtime.takes.put("balance-check", new int[] {60_000, 0});
    start("00000000000000a5");
    requestGauges();
    awaitCommands("gauges ", 1);
    Await.until(() -> requestGaugesAndCountRequests() == 2); // not before the first was answered
    runtime.cut();
    awaitCommands("sync ", 2);
    start("00000000000000a6");
    Await.until(() -> runtime.started("00000000000000a6"));
    gate.run(() -> {}); // what was read with the synchronization is handled
    assertEquals(0, gate.call(() -> counters.get("runtime.resent")));
    assertEquals(1, commands("start 00000000000000a5"));
  }

  private void requestGauges() {
    gate.run(client::requestGauges);
  }

  private long requestGaugesAndCountRequests() {
    requestGauges();
    return commands("gauges ");
  }

  private void awaitCommands(String command, int count) {
    Await.until(() -> commands(command) == count);
  }

  private long commands(String command) {
    synchronized (runtime) {
      return runtime.commands.stream().filter(command::equals).count();
    }
  }
}
