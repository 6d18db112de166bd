package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import rosecleat.core.Core;
import rosecleat.core.DeliveryGuarantee;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.fakes.RespClient;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.policy.Idempotency;
import rosecleat.runtime.UnavailableRunner;

/**
 * Timeouts of connections without a message, idle ones and those with an incomplete message, on a
 * clock that the tests advance.
 */
class ConnectionTimeoutTest {
  private static final List<RequestClass> CLASSES =
      List.of(new RequestClass("balance-check", Idempotency.SAFE, false, 0, 1_000_000));
  private static final long LONG_IDLE_TIMEOUT_US = 30_000_000;
  private static final int FIRST_BYTES = 20;

  private final AtomicLong clock = new AtomicLong(1_800_000_000_000_000L);

  private FrontendHarness start(
      long idleTimeoutUs, BiFunction<EventLoop, Core, Runner> runner, Log log) throws Exception {
    return new FrontendHarness(CLASSES, List.of("small"), idleTimeoutUs, runner, clock::get, log);
  }

  @Test
  void connectionsWithoutValidRequestTimeOutAndOthersStayOpen() throws Exception {
    try (Log log = new Log(System.err);
        FrontendHarness harness = start(LONG_IDLE_TIMEOUT_US, UnavailableRunner::new, log);
        RespClient silent = new RespClient(harness.port(), null);
        RespClient incomplete = new RespClient(harness.port(), null);
        RespClient active = new RespClient(harness.port(), null)) {
      incomplete.send(bytes("*5\r\n$2\r\nDO\r\n$1\r\n1\r\n"));
      requestAndExpectRejection(active, 1);
      harness.awaitAtLeast(3, harness.frontend::openConnections);
      clock.addAndGet(2_100_000);
      harness.closeIdleConnections(false);
      requestAndExpectRejection(active, 2);
      clock.addAndGet(200_000);
      harness.closeIdleConnections(false);
      assertNull(silent.read());
      assertNull(incomplete.read());
      requestAndExpectRejection(active, 3);
      assertEquals(2, harness.core.counters().get("resp.slow"));
    }
  }

  /**
   * A client that has sent a valid request may need up to 10 s for a message, and is not
   * disconnected while it awaits a response.
   */
  @Test
  void clientWithValidRequestHasLongerReadTimeoutAndStaysOpenWhileAwaitingResponse()
      throws Exception {
    try (Log log = new Log(System.err);
        FrontendHarness harness =
            start(LONG_IDLE_TIMEOUT_US, (loop, core) -> new PendingRunner(), log);
        RespClient slow = new RespClient(harness.port(), null);
        RespClient awaiting = new RespClient(harness.port(), null)) {
      byte[] incomplete = bytes("*5\r\n$2\r\nDO\r\n");
      requestAndExpectRejection(slow, 1);
      harness.startCore();
      awaiting.send(
          RespClient.array(
              "DO",
              1,
              "balance-check",
              "id=00000000000000b1,at="
                  + clock.get() / 1000
                  + ",from=1,tenant=small,wait=900000,kb=1,rank=0",
              "b"));
      slow.send(incomplete);
      awaiting.send(incomplete);
      harness.awaitAtLeast(2, harness.frontend::connectionsMidMessage);
      clock.addAndGet(9_000_000);
      harness.closeIdleConnections(false);
      assertEquals(2, harness.onLoop(harness.frontend::openConnections));
      clock.addAndGet(2_000_000);
      harness.closeIdleConnections(false);
      assertNull(slow.read());
      harness.runOnLoop(
          () -> harness.core.runEnded("00000000000000b1", RunResult.OK, new byte[] {'r'}, 1));
      assertEquals("r", awaiting.answer().get(3));
    }
  }

  /** A slow client with an incomplete message is not asked to close its connection as idle. */
  @Test
  void connectionWithPartialMessageIsNotIdle() throws Exception {
    try (Log log = new Log(System.err);
        FrontendHarness harness = start(50_000, UnavailableRunner::new, log);
        RespClient slow = new RespClient(harness.port(), null);
        RespClient idle = new RespClient(harness.port(), null)) {
      byte[] request = request(2, "00000000000000a2");
      requestAndExpectRejection(slow, 1);
      requestAndExpectRejection(idle, 1);
      slow.send(Arrays.copyOf(request, FIRST_BYTES));
      harness.awaitAtLeast(1, harness.frontend::connectionsMidMessage);
      clock.addAndGet(60_000);
      harness.closeIdleConnections(false);
      assertEquals("BYE", idle.read().get(1));
      slow.send(Arrays.copyOfRange(request, FIRST_BYTES, request.length));
      assertEquals("BUSY", slow.read().get(1));
    }
  }

  /**
   * A client that is asked to close its connection may still complete a message that it has begun.
   * The message is served unless the node closes its connections first.
   */
  @Test
  void partialMessageCanBeCompletedAfterCloseRequest() throws Exception {
    try (Log log = new Log(System.err);
        FrontendHarness harness = start(LONG_IDLE_TIMEOUT_US, UnavailableRunner::new, log);
        RespClient slow = new RespClient(harness.port(), null);
        RespClient stalled = new RespClient(harness.port(), null)) {
      byte[] request = request(2, "00000000000000a2");
      requestAndExpectRejection(slow, 1);
      requestAndExpectRejection(stalled, 1);
      slow.send(Arrays.copyOf(request, FIRST_BYTES));
      stalled.send(Arrays.copyOf(request, FIRST_BYTES));
      harness.awaitAtLeast(2, harness.frontend::connectionsMidMessage);
      harness.closeIdleConnections(true);
      assertEquals("BYE", slow.read().get(1));
      clock.addAndGet(1_100_000); // longer than the close timeout of an unused connection
      harness.closeIdleConnections(true);
      slow.send(Arrays.copyOfRange(request, FIRST_BYTES, request.length));
      assertEquals("BUSY", slow.read().get(1));
      assertNull(slow.read());
      assertEquals("BYE", stalled.read().get(1));
      harness.runOnLoop(harness.frontend::closeConnections);
      assertNull(stalled.read()); // end of stream, no reset
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] request(int tag, String id) {
    return RespClient.array(
        "DO", tag, "balance-check", RespClient.fields(id, "small", 900, null), "b");
  }

  /** Sends a valid request, which is rejected since the core has no CPU cores to run it. */
  private static void requestAndExpectRejection(RespClient client, int tag) throws Exception {
    client.send(request(tag, String.format("%016x", tag)));
    assertEquals("BUSY", client.answer().get(1));
  }

  /** A runner whose runs never end by themselves. */
  private static final class PendingRunner implements Runner {
    @Override
    public void start(Request request, DeliveryGuarantee guarantee, long deadlineUs) {}

    @Override
    public void cancel(String id) {}

    @Override
    public void completeCall(String id, byte[] reply) {}

    @Override
    public void skipCall(String id, long callNumber) {}
  }
}
