package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.log.Log;
import rosecleat.standin.RespClient;
import rosecleat.standin.StandInRuntime;
import rosecleat.standin.TestSite;

/** Clients that mean harm or know no better: each is refused or closed in time, and a balancer goes on. */
class BadClientsTest {
  private final StandInRuntime runtime = new StandInRuntime(20);
  private final Log log = new Log(System.err);
  private final List<RespClient> clients = new ArrayList<>();
  private Node node;
  private RespClient balancer;

  @BeforeEach void start() throws IOException {
    node = new Node(TestSite.config(runtime.port(), 0, 0, 2_000, 500), null, log);
    node.start();
    balancer = connect();
    while (!served(1)) {
      Thread.yield(); // the runtime comes up
    }
  }

  @AfterEach void stop() throws IOException {
    for (RespClient client : clients) {
      client.close();
    }
    node.close();
    runtime.close();
    log.close();
  }

  private RespClient connect() throws IOException {
    RespClient client = new RespClient(node.port(), null);
    clients.add(client);
    return client;
  }

  private int tag;

  private boolean served(int requests) throws IOException {
    boolean all = true;
    for (int i = 0; i < requests; i++) {
      String id = String.format("%016x", ++tag);
      balancer.send(RespClient.array("DO", tag, "balance-check", RespClient.fields(id, "small", 1_100, null), "b"));
      all &= balancer.answer().get(1).equals("OK");
    }
    return all;
  }

  /** Reads until the connection ends; a reset is an end too. */
  private static int answersUntilClosed(RespClient client) {
    int answers = 0;
    try {
      while (client.read() != null) {
        answers++;
      }
    } catch (IOException e) {
      return e instanceof java.net.SocketTimeoutException ? -1 : answers;
    }
    return answers;
  }

  @Test void whoOnlyErrsIsShutOut() throws IOException {
    RespClient errant = connect();
    for (int i = 0; i < 64; i++) {
      errant.send(RespClient.array("DO", 1 + i, "no-such-class", "id=1", "b"));
    }
    assertEquals(64, answersUntilClosed(errant));
    assertTrue(served(3));
  }

  @Test void hugeBodiesAreNotKept() throws IOException {
    RespClient huge = connect();
    huge.send("*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$13\r\nbalance-check\r\n$2\r\nid\r\n$60000000\r\n"
        .getBytes(StandardCharsets.UTF_8));
    assertEquals(0, answersUntilClosed(huge));
    RespClient large = connect();
    large.send(RespClient.array("DO", 1, "balance-check", "id", new byte[10_000_000]));
    assertEquals("FAILED", large.answer().get(1)); // skipped, and the connection can go on
    assertTrue(served(3));
  }
}
