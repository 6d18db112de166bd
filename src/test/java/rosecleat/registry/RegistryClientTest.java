package rosecleat.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.Counters;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeRegistry;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.net.LoopGate;

/**
 * Reports whose connection ends, whose registry fails, or which are answered with interim
 * responses.
 */
class RegistryClientTest {
  private final Log log = new Log(System.err);
  private final FakeRegistry registry = new FakeRegistry();
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
            new InetSocketAddress(InetAddress.getLoopbackAddress(), registry.port()),
            "n1",
            counters,
            log);
  }

  @AfterEach
  void stop() throws IOException {
    gate.close();
    loop.close();
    registry.close();
    log.close();
  }

  private long count(String name) {
    return gate.call(() -> counters.get(name));
  }

  /**
   * Guards against a drain report that waits for a response on a dead connection: the connection
   * has ended, but its handler is notified only after draining starts.
   */
  @Test
  void drainReportIsNotSentOnClosedConnectionBeforeItsHandlerRuns() throws Exception {
    gate.run(client::start);
    Await.until(() -> count("roster.reports") == 1);
    gate.hold();
    registry.cut();
    gate.settle();
    loop.execute(client::startDraining);
    long drainStartNs = System.nanoTime();
    gate.release();
    Await.until(() -> count("roster.reports") == 2);
    assertTrue(
        System.nanoTime() - drainStartNs < 500_000_000,
        "the report waited for a response that could not come");
    assertEquals(0, count("roster.failed"));
    assertTrue(registry.reports.get(1).contains("off"), registry.reports.toString());
  }

  /**
   * The registry removes nodes that stop reporting, so a retry must not wait for the next regular
   * report.
   */
  @Test
  void failedReportIsRetriedBeforeNextInterval() {
    registry.mood = "503";
    gate.run(client::start);
    Await.until(() -> count("roster.failed") == 1);
    long failedNs = System.nanoTime();
    registry.mood = "204";
    Await.until(() -> count("roster.reports") == 1);
    assertTrue(
        System.nanoTime() - failedNs < 600_000_000, "the retry waited for the next regular report");
  }

  @Test
  void interimResponseDoesNotEndReport() {
    registry.mood = "103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 204";
    gate.run(client::start);
    Await.until(() -> count("roster.reports") == 1);
    assertEquals(0, count("roster.failed"));
  }
}
