package rosecleat.flood;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.UwsgiClient;

/**
 * Hundreds of clients that stop in the middle of a message, against a process with the heap of its
 * deployment. Each costs itself; clients that behave get all their answers.
 */
class IncompleteInputFloodTest {
  private static final int FEW_UWSGI_CONNECTIONS = 16;
  private static final int MANY_UWSGI_CONNECTIONS = 400;
  private static final int BAD_CONNECTIONS = 900;
  private static final long FLOOD_MS = 4_000;

  @TempDir Path folder;

  /** Returns an array of eight strings of 4,096 bytes without its last 256 bytes. */
  private static byte[] incompleteArray() {
    String[] words = new String[8];
    Arrays.fill(words, "z".repeat(4_096));
    byte[] array = RespClient.array((Object[]) words);
    return Arrays.copyOf(array, array.length - 256);
  }

  /** Guards the heap against the sum of many incomplete arrays, which once ended all service. */
  @ParameterizedTest
  @ValueSource(ints = {112, 144, 192})
  void incompleteArraysOfManyClientsHarmNoOtherClient(int memoryMb) throws Exception {
    try (DeployedNode node = DeployedNode.start(folder, memoryMb, FEW_UWSGI_CONNECTIONS)) {
      flood(node, BadClients.fast(node.respPort, BAD_CONNECTIONS, incompleteArray()));
    }
  }

  /** Guards clients against many others that send a large request a few bytes at a time. */
  @Test
  void slowlyWrittenArraysOfManyClientsHarmNoOtherClient() throws Exception {
    try (DeployedNode node = DeployedNode.start(folder, 144, FEW_UWSGI_CONNECTIONS)) {
      flood(node, new BadClients(node.respPort, BAD_CONNECTIONS, incompleteArray(), 400, true));
    }
  }

  /**
   * Guards the heap against what many connections remember of tags that their clients chose far
   * apart.
   */
  @Test
  void scatteredTagsOfManyClientsHarmNoOtherClient() throws Exception {
    ByteArrayOutputStream requests = new ByteArrayOutputStream();
    for (int tag = 1; tag < 360; tag += 3) {
      requests.writeBytes(RespClient.array("DO", 1_000_000 + tag, "no-such-class", "x"));
    }
    requests.writeBytes("*8\r\n$3\r\n".getBytes(StandardCharsets.US_ASCII));
    try (DeployedNode node = DeployedNode.start(folder, 144, FEW_UWSGI_CONNECTIONS)) {
      flood(node, BadClients.fast(node.respPort, BAD_CONNECTIONS, requests.toByteArray()));
    }
  }

  /** Guards the heap against the sum of many incomplete bodies. */
  @ParameterizedTest
  @ValueSource(ints = {112, 144, 192})
  void incompleteUwsgiBodiesOfManyClientsHarmNoOtherClient(int memoryMb) throws Exception {
    Map<String, String> vars =
        UwsgiClient.vars("POST", "/x", "aspen-dining", "P", "p".repeat(16_000));
    byte[] packet = UwsgiClient.packet(vars, "b".repeat(60_000));
    byte[] incomplete = Arrays.copyOf(packet, packet.length - 256);
    floodUwsgi(memoryMb, incomplete);
  }

  /** Guards the heap against the objects of very many short vars, which exceed their bytes. */
  @ParameterizedTest
  @ValueSource(ints = {112, 144, 192})
  void incompleteUwsgiRequestsWithManyShortVarsHarmNoOtherClient(int memoryMb) throws Exception {
    Map<String, String> vars = UwsgiClient.vars("POST", "/x", "aspen-dining");
    for (int i = 0; i < 2_000; i++) {
      vars.put(Integer.toString(i, Character.MAX_RADIX), "");
    }
    vars.put("CONTENT_LENGTH", "2");
    floodUwsgi(memoryMb, UwsgiClient.packet(vars, "b"));
  }

  private void floodUwsgi(int memoryMb, byte[] bytes) throws Exception {
    try (DeployedNode node = DeployedNode.start(folder, memoryMb, MANY_UWSGI_CONNECTIONS)) {
      flood(node, BadClients.fast(node.uwsgiPort, MANY_UWSGI_CONNECTIONS - 16, bytes));
    }
  }

  /** Guards the heap against the sum of answers that many clients do not read. */
  @ParameterizedTest
  @ValueSource(ints = {112, 192})
  void unreadAnswersOfManyClientsHarmNoOtherClient(int memoryMb) throws Exception {
    ByteArrayOutputStream checks = new ByteArrayOutputStream();
    for (int tag = 1; tag <= 40_000; tag++) {
      checks.writeBytes(RespClient.array("PING", tag, ""));
    }
    byte[] bytes = checks.toByteArray();
    try (DeployedNode node = DeployedNode.start(folder, memoryMb, FEW_UWSGI_CONNECTIONS)) {
      flood(node, new BadClients(node.respPort, 500, bytes, bytes.length, false));
    }
  }

  /** Lets bad clients act beside a balancer and a web server, and checks what these get. */
  static void flood(DeployedNode node, BadClients bad) throws Exception {
    SteadyWebServer webServer = flood(node, bad::run);
    assertEquals(0, webServer.refused(), webServer.sent() + " requests sent");
  }

  /** The acts of bad clients. */
  interface Disturbance {
    void run(long durationMs) throws IOException;
  }

  /**
   * Like the other method, for clients whose own requests may take capacity; these may cause
   * refusals.
   */
  static SteadyWebServer flood(DeployedNode node, Disturbance bad) throws Exception {
    SteadyBalancer balancer = new SteadyBalancer(node.respPort, 1);
    SteadyWebServer webServer = new SteadyWebServer(node.uwsgiPort);
    Thread balancing = start("balancer", () -> balancer.run(FLOOD_MS + 1_500));
    Thread serving = start("web server", () -> webServer.run(FLOOD_MS + 1_500));
    Thread.sleep(500);
    bad.run(FLOOD_MS);
    balancing.join();
    serving.join();
    String state = "log of the node:\n" + lastLines(node.log());
    assertTrue(node.isAlive(), state);
    assertFalse(node.log().contains("OutOfMemoryError"), state);
    assertEquals(0, balancer.unanswered(), balancer.sent() + " requests sent; " + state);
    assertEquals(0, webServer.failures().size(), webServer.failures() + "; " + state);
    try (RespClient check = new RespClient(node.respPort, null)) {
      check.send(RespClient.array("PING", 1, ""));
      assertEquals("UP", check.answer().get(1), state);
    }
    return webServer;
  }

  private static String lastLines(String log) {
    return log.substring(Math.max(0, log.length() - 2_000));
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                return; // the requests that could not be sent count as unanswered
              }
            },
            name);
    thread.start();
    return thread;
  }
}
