package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;

/**
 * Malicious or faulty clients: each is rejected or disconnected in time, while requests of a
 * balancer continue to be served.
 */
class MisbehavingClientsTest {
  private final FakeRuntime runtime = new FakeRuntime(20);
  private final Log log = new Log(System.err);
  private final List<RespClient> clients = new ArrayList<>();
  private Node node;
  private RespClient balancer;

  @BeforeEach
  void start() throws IOException {
    node =
        new Node(
            ProcessConfig.of(TestSite.config(runtime.port(), 0, 0, 2_000, 500)),
            NodeEnvironment.standalone(log));
    node.start();
    balancer = connect();
    while (!served(1)) {
      Thread.yield(); // wait until the runtime is connected
    }
  }

  @AfterEach
  void stop() throws IOException {
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
      balancer.send(
          RespClient.array(
              "DO", tag, "balance-check", RespClient.fields(id, "small", 1_100, null), "b"));
      all &= balancer.answer().get(1).equals("OK");
    }
    return all;
  }

  /**
   * Returns the status words of all responses until the connection ends. It must be closed
   * gracefully, since a reset could lose responses.
   */
  private static List<String> answersUntilClosed(RespClient client) throws IOException {
    List<String> answers = new ArrayList<>();
    for (List<String> words = client.read(); words != null; words = client.read()) {
      answers.add(words.get(1));
    }
    return answers;
  }

  @Test
  void clientThatSendsOnlyInvalidRequestsIsDisconnected() throws IOException {
    RespClient errant = connect();
    for (int i = 0; i < 64; i++) {
      errant.send(RespClient.array("DO", 1 + i, "no-such-class", "id=1", "b"));
    }
    List<String> answers = answersUntilClosed(errant);
    assertEquals(64, Collections.frequency(answers, "FAILED"));
    assertEquals(65, answers.size());
    // The request to close is sent last, followed by the end of the stream.
    assertEquals("BYE", answers.get(64));
    assertTrue(served(3));
  }

  /**
   * Guards valid requests of a client that is disconnected for too many invalid requests: the
   * client still gets their responses.
   */
  @Test
  void validRequestsAroundTooManyInvalidOnesGetResponses() throws IOException {
    RespClient errant = connect();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(
        RespClient.array(
            "DO",
            1,
            "balance-check",
            RespClient.fields("00000000000000e1", "small", 1_100, null),
            "b"));
    for (int i = 0; i < 64; i++) {
      all.writeBytes(RespClient.array("DO", 2 + i, "no-such-class", "id=1", "b"));
    }
    all.writeBytes(
        RespClient.array(
            "DO",
            66,
            "balance-check",
            RespClient.fields("00000000000000e2", "small", 1_100, null),
            "b"));
    errant.send(all.toByteArray());
    List<String> answers = answersUntilClosed(errant);
    assertEquals(2, Collections.frequency(answers, "OK"));
    assertEquals(64, Collections.frequency(answers, "FAILED"));
    assertTrue(served(3));
  }

  /**
   * Guards a valid request on a connection that later carries malformed bytes: its response is sent
   * before the connection is closed.
   */
  @Test
  void requestBeforeMalformedBytesGetsItsResponse() throws IOException {
    RespClient malformed = connect();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(
        RespClient.array(
            "DO",
            1,
            "balance-check",
            RespClient.fields("00000000000000e3", "small", 1_100, null),
            "b"));
    all.writeBytes("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    malformed.send(all.toByteArray());
    assertEquals(List.of("BYE", "OK"), answersUntilClosed(malformed));
    assertTrue(served(3));
  }

  /**
   * Guards a request after an array that cannot be answered because it has no tag: parsing
   * continues after that array.
   */
  @Test
  void requestAfterAnArrayWithoutTagGetsItsResponse() throws IOException {
    RespClient untagged = connect();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(RespClient.array("DO", "x", "balance-check", "id", "b"));
    all.writeBytes(
        RespClient.array(
            "DO",
            1,
            "balance-check",
            RespClient.fields("00000000000000e4", "small", 1_100, null),
            "b"));
    untagged.send(all.toByteArray());
    assertEquals(List.of("BYE", "OK"), answersUntilClosed(untagged));
    assertTrue(served(3));
  }

  @Test
  void oversizedBodyIsNotBuffered() throws IOException {
    RespClient huge = connect();
    huge.send(
        "*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$13\r\nbalance-check\r\n$2\r\nid\r\n$60000000\r\n"
            .getBytes(StandardCharsets.UTF_8));
    assertEquals(List.of("BYE"), answersUntilClosed(huge));
    RespClient large = connect();
    large.send(RespClient.array("DO", 1, "balance-check", "id", new byte[10_000_000]));
    // The body is skipped, and the connection stays usable.
    assertEquals("FAILED", large.answer().get(1));
    assertTrue(served(3));
  }
}
