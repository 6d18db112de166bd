package rosecleat.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.Counters;
import rosecleat.fakes.FakeRegistry;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.net.LoopGate;

/**
 * Reports that cross the end of their connection, a roster that fails, and one that says more than
 * one reply.
 */
class RegistryClientTest {
  private final Log log = new Log(System.err);
  private final FakeRegistry roster = new FakeRegistry();
  private final Counters counters = new Counters();
  private EventLoop loop;
  private LoopGate gate;
  private RegistryClient client;

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop(log);
    gate = new LoopGate(loop);
    client =
        new RegistryClient(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), roster.port()),
            "n1",
            counters,
            log);
  }

  @AfterEach
  void stop() throws IOException {
    gate.close();
    loop.close();
    roster.close();
    log.close();
  }

  private long count(String name) {
    return gate.on(() -> counters.get(name));
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 10_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "it did not come to hold");
      Thread.yield();
    }
  }

  /**
   * Guards the notice to leave: its connection has ended, and the client hears of that only behind
   * the notice.
   */
  @Test
  void aReportIsNotPutOnAConnectionWhoseEndIsStillToBeTold() throws Exception {
    gate.on(
        () -> {
          client.start();
          return 0;
        });
    await(() -> count("roster.reports") == 1);
    gate.hold();
    roster.cut();
    gate.settle();
    loop.execute(client::startDraining);
    long leftNs = System.nanoTime();
    gate.release();
    await(() -> count("roster.reports") == 2);
    assertTrue(
        System.nanoTime() - leftNs < 500_000_000,
        "the notice waited for an answer that could not come");
    assertEquals(0, count("roster.failed"));
    assertTrue(roster.reports.get(1).contains("off"), roster.reports.toString());
  }

  /**
   * Guards the list: a node whose report failed tells it anew at once, not with the next second's
   * report.
   */
  @Test
  void aRosterThatFailedIsToldAnewAtOnce() {
    roster.mood = "503";
    gate.on(
        () -> {
          client.start();
          return 0;
        });
    await(() -> count("roster.failed") == 1);
    long failedNs = System.nanoTime();
    roster.mood = "204";
    await(() -> count("roster.reports") == 1);
    assertTrue(System.nanoTime() - failedNs < 600_000_000, "it waited for the next second");
  }

  /** Guards reports against interim replies, which stand in front of the final one. */
  @Test
  void anInterimReplyIsNoAnswer() {
    roster.mood = "103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 204";
    gate.on(
        () -> {
          client.start();
          return 0;
        });
    await(() -> count("roster.reports") == 1);
    assertEquals(0, count("roster.failed"));
  }
}
