package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosecleat.fakes.UwsgiClient.exchange;
import static rosecleat.fakes.UwsgiClient.packet;
import static rosecleat.fakes.UwsgiClient.vars;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.config.BrokerConfigReader;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.FakeUwsgiService.Mood;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.fakes.UwsgiClient;
import rosecleat.fakes.UwsgiClient.Reply;

/**
 * The uwsgi frontend from request to response, over loopback: each status, and what it states about
 * whether the request ran.
 */
class UwsgiFrontendTest {
  @TempDir Path folder;
  private NodeHarness env;

  @BeforeEach
  void start() throws IOException {
    env = new NodeHarness(20, 3_000, 1_500, folder);
  }

  @AfterEach
  void stop() {
    env.close();
  }

  private Reply get(String path, String... more) throws IOException {
    return exchange(env.uwsgiPort, packet(vars("GET", path, "till", more), ""));
  }

  private Reply load(String key, String body) throws IOException {
    return exchange(
        env.uwsgiPort,
        packet(vars("POST", "/cards/loads", "till", "HTTP_IDEMPOTENCY_KEY", key), body));
  }

  private Reply put(String key) throws IOException {
    return exchange(
        env.uwsgiPort, packet(vars("PUT", "/files/a", "till", "HTTP_IDEMPOTENCY_KEY", key), "new"));
  }

  @Test
  void readIsServedWithItsParametersAndDescribedType() throws IOException {
    Reply reply = get("/cards/77/balance", "QUERY_STRING", "unit=cent%73&card=1");
    assertEquals(200, reply.status());
    assertEquals(FakeRuntime.result("{\"unit\":\"cents\",\"card\":\"77\"}"), reply.body());
    assertEquals("text/plain", reply.header("Content-Type"));
  }

  /**
   * Guards contracts against reloads: after a reload with other names, their classes and tenants
   * have other indices.
   */
  @Test
  void contractsStayValidAfterAReload() throws IOException {
    assertEquals(200, get("/files/a").status());
    String file =
        TestSite.config(env.runtime.port(), 0, 0, 3_000, 1_500)
            .source()
            .toString()
            .replace("card-refresh", "card-status")
            .replace("{\"name\":\"big\"", "{\"name\":\"new\",\"quota-per-s\":5},{\"name\":\"big\"");
    NodeConfig fresh = NodeConfigReader.parse(file, Map.of());
    assertEquals(3, fresh.settings().tenantNames().size());
    env.node.reload(
        new ProcessConfig(
            fresh,
            Optional.of(BrokerConfigReader.read(folder.resolve("broker.yaml"), fresh.settings()))));
    assertEquals(200, get("/cards/77/balance").status());
    assertEquals(200, get("/files/a").status());
    assertEquals(200, load("after", "x").status());
    assertEquals(1L, (long) env.ask(core -> core.counters().get("reloads")));
  }

  @Test
  void requestSplitAtAnyByteIsTheSameRequest() throws Exception {
    byte[] bytes =
        packet(vars("POST", "/cards/loads", "till", "HTTP_IDEMPOTENCY_KEY", "cut"), "amount=5");
    Random random = new Random(11);
    for (int round = 0; round < 8; round++) {
      try (Socket socket = UwsgiClient.open(env.uwsgiPort)) {
        for (int at = 0; at < bytes.length; ) {
          int end = Math.min(bytes.length, at + 1 + random.nextInt(round == 0 ? 1 : 60));
          socket.getOutputStream().write(bytes, at, end - at);
          at = end;
          Thread.sleep(1);
        }
        assertEquals(FakeRuntime.result("amount=5"), UwsgiClient.read(socket).body());
      }
    }
    assertEquals(1, env.runtime.startsOf("amount=5"));
  }

  @Test
  void invalidRequestIsRejectedWithItsError() throws IOException {
    assertEquals(404, get("/cards/77").status());
    assertEquals(404, get("/elsewhere/1/balance").status());
    Reply method = exchange(env.uwsgiPort, packet(vars("DELETE", "/files/a", "till"), ""));
    assertEquals(405, method.status());
    assertEquals("GET, HEAD, OPTIONS, PUT", method.header("Allow"));
    assertEquals(
        403,
        exchange(env.uwsgiPort, packet(vars("GET", "/cards/7/balance", "nobody"), "")).status());
    assertEquals(
        400, exchange(env.uwsgiPort, packet(vars("POST", "/cards/loads", "till"), "x")).status());
    assertEquals(400, load("spaces are none", "x").status());
    assertEquals(400, get("/cards/7/balance", "HTTP_X_DEADLINE_MS", "soon").status());
    assertEquals(400, get("/cards/7/balance", "QUERY_STRING", "a=%zz").status());
    assertEquals(400, get("/cards/7/balance", "CONTENT_LENGTH", "-1").status());
    assertEquals(413, load("big", "y".repeat(1025)).status());
    assertEquals(413, get("/cards/7/balance", "HTTP_X_LONG", "z".repeat(4096)).status());
    byte[] cut = packet(vars("GET", "/cards/7/balance", "till"), "");
    cut[4] = (byte) 0xff; // the name of the first var now extends beyond the packet
    cut[5] = (byte) 0xff;
    assertEquals(400, exchange(env.uwsgiPort, cut).status());
    byte[] other = packet(vars("GET", "/cards/7/balance", "till"), "");
    other[0] = 5;
    assertEquals(400, exchange(env.uwsgiPort, other).status());
    assertEquals(0, env.runtime.starts.size());
  }

  @Test
  void pingGetsAResponse() throws IOException {
    try (Socket socket = UwsgiClient.open(env.uwsgiPort)) {
      socket.getOutputStream().write(new byte[] {100, 0, 0, 0});
      assertTrue(Arrays.equals(new byte[] {100, 0, 0, 1}, socket.getInputStream().readAllBytes()));
    }
  }

  @Test
  void requestNotCompletedByItsDeadlineIsAGatewayTimeout() throws IOException {
    env.backend.mood = Mood.SLOW;
    long start = System.nanoTime();
    Reply reply = get("/files/a", "HTTP_X_DEADLINE_MS", "300");
    assertEquals(504, reply.status());
    assertEquals("may-have-run", reply.header("X-Progress"));
    assertTrue(System.nanoTime() - start < 800_000_000L, "response came late");
    env.await(core -> env.backend.closedOnUs.get() == 1); // the run was cancelled
  }

  @Test
  void contractDeadlineAppliesWhenTheCallerSetsNone() throws IOException {
    env.backend.mood = Mood.SLOW;
    long start = System.nanoTime();
    assertEquals(504, get("/files/a").status());
    assertTrue(System.nanoTime() - start < 2_000_000_000L, "response came late");
  }

  @Test
  void rejectedRequestGetsARetryAfterHeader() throws Exception {
    byte[] bytes = packet(vars("GET", "/cards/late/balance", "till"), "");
    env.node.beginShutdown(() -> {});
    assertEquals(
        200, get("/cards/2/balance").status(), "requests still run within the grace period");
    env.await(core -> core.draining());
    Thread.sleep(1_200);
    try (Socket socket = UwsgiClient.open(env.uwsgiPort)) {
      // Started within the grace period, complete only after it.
      socket.getOutputStream().write(bytes, 0, 10);
      env.await(core -> core.gracePeriodEnded());
      socket.getOutputStream().write(bytes, 10, bytes.length - 10);
      Reply refused = UwsgiClient.read(socket);
      assertEquals(503, refused.status());
      assertEquals("1", refused.header("Retry-After"));
      assertEquals("never-ran", refused.header("X-Progress"));
    }
    env.await(core -> env.node.uwsgi().openConnections() == 0);
    Thread.sleep(600); // the listener is closed once no connection arrives
    assertThrows(java.net.ConnectException.class, () -> get("/cards/3/balance"));
    assertEquals(1, env.runtime.starts.size());
  }

  @Test
  void unreachableBackendMeansThatNothingRan() throws IOException {
    int before = env.backend.requests.get();
    env.backend.close();
    Reply reply = put("k1");
    assertEquals(502, reply.status());
    assertEquals("never-ran", reply.header("X-Progress"));
    // Nothing ran, so a retry with the key is attempted and not answered from a result.
    assertEquals(502, put("k1").status());
    assertEquals(2L, env.ask(core -> core.counters().get("backend.unreached")).longValue());
    assertEquals(before, env.backend.requests.get());
  }

  @Test
  void requestOnABrokenConnectionMayHaveRun() throws IOException {
    env.backend.mood = Mood.BREAKS;
    Reply reply = put("k2");
    assertEquals(502, reply.status());
    assertEquals("may-have-run", reply.header("X-Progress"));
    env.backend.mood = Mood.GOOD;
    // The request may have had its effect, so it is not sent again.
    assertEquals(502, put("k2").status());
    assertEquals(1, env.backend.requests.get());
    assertEquals(200, put("k3").status());
  }

  @Test
  void responseOfAServiceReachesTheCallerUnchanged() throws IOException {
    env.backend.script =
        "HTTP/1.1 100 Continue\r\n\r\n"
            + "HTTP/1.1 404 Nope\r\n"
            + "Content-Type: application/json\r\n"
            + "Set-Cookie: a=1\r\n"
            + "Set-Cookie: b=2\r\n"
            + "Connection: X-Own, close\r\n"
            + "X-Own: dropped\r\n"
            + "Keep-Alive: 5\r\n"
            + "ETag: \"7\"\r\n"
            + "Content-Length: 5\r\n\r\n"
            + "{\"a\"}";
    Reply reply = get("/files/a");
    assertEquals(404, reply.status());
    assertEquals("{\"a\"}", reply.body());
    assertEquals(
        "HTTP/1.1 404 Not Found\r\n"
            + "Content-Type: application/json\r\n"
            + "Set-Cookie: a=1\r\n"
            + "Set-Cookie: b=2\r\n"
            + "ETag: \"7\"\r\n"
            + "Content-Length: 5\r\n"
            + "Connection: close",
        reply.head());
    env.backend.script = "HTTP/1.1 500 Oops\r\n\r\nwhy";
    assertEquals(500, get("/files/a").status());
    env.backend.script = "HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n";
    Reply empty = get("/files/a");
    assertEquals(204, empty.status());
    assertEquals("", empty.header("Content-Length"));
  }

  @Test
  void retryWithTheSameKeyGetsTheWholeResponse() throws IOException {
    env.backend.script = "HTTP/1.1 409 Conflict\r\nX-Why: taken\r\nContent-Length: 4\r\n\r\nfull";
    Reply first = put("k7");
    assertEquals(409, first.status());
    env.backend.script = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assertEquals(first, put("k7"), "status, headers and body of the first response");
    assertEquals(1, env.backend.requests.get());
  }

  @Test
  void responseThatCouldForgeAnotherIsABadGateway() throws IOException {
    for (String bad :
        List.of(
            "HTTP/1.1 200 OK\r\nX-A: b\rSet-Cookie: c\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 101 Switching\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nlong")) {
      env.backend.script = bad;
      Reply reply = get("/files/a");
      assertEquals(502, reply.status(), bad);
      assertEquals("ran", reply.header("X-Progress"));
    }
  }

  @Test
  void headIsServedLikeGetAndOptionsByTheBroker() throws IOException {
    Reply head =
        UwsgiClient.exchange(
            env.uwsgiPort, UwsgiClient.packet(UwsgiClient.vars("HEAD", "/files/a", "till"), ""));
    assertEquals(200, head.status());
    assertEquals("10", head.header("Content-Length"));
    assertEquals("", head.body());
    assertTrue(
        env.backend.lastPacket.contains("GET"),
        "the service gets the method that its description names");
    int before = env.backend.requests.get();
    Reply options =
        UwsgiClient.exchange(
            env.uwsgiPort, UwsgiClient.packet(UwsgiClient.vars("OPTIONS", "/files/a", ""), ""));
    assertEquals(204, options.status());
    assertEquals("GET, HEAD, OPTIONS, PUT", options.header("Allow"));
    assertEquals(
        404,
        UwsgiClient.exchange(
                env.uwsgiPort, UwsgiClient.packet(UwsgiClient.vars("OPTIONS", "/nowhere", ""), ""))
            .status());
    assertEquals(before, env.backend.requests.get());
  }

  @Test
  void backendReceivesTheRequestAsUwsgi() throws IOException {
    assertEquals("x".repeat(10), get("/files/a", "HTTP_X_OTHER", "kept").body());
    for (String var :
        List.of(
            "REQUEST_METHOD",
            "PATH_INFO",
            "HTTP_X_OTHER",
            "HTTP_X_DEADLINE_MS",
            "HTTP_X_REQUEST_ID")) {
      assertTrue(env.backend.lastPacket.contains(var), var);
    }
  }

  @Test
  void brokerWithoutRuntimeServesItsBackends() throws IOException {
    env.close();
    env = new NodeHarness(20, 3_000, 1_500, folder, false);
    for (int i = 0; i < 30; i++) {
      assertEquals(200, get("/files/" + i).status());
    }
    assertEquals(30, env.backend.requests.get());
    Reply none = get("/cards/7/balance");
    assertEquals(502, none.status());
    assertEquals("never-ran", none.header("X-Progress"));
    assertEquals(0, env.runtime.commands.size());
  }

  @Test
  void closedConnectionCancelsItsRequest() throws IOException {
    env.backend.mood = Mood.SLOW;
    try (Socket socket = UwsgiClient.open(env.uwsgiPort)) {
      socket.getOutputStream().write(packet(vars("GET", "/files/a", "till"), ""));
      env.await(core -> env.backend.requests.get() == 1);
    }
    env.await(
        core ->
            env.backend.closedOnUs.get() == 1
                && core.counters().get("gone") == 1
                && core.inFlight() == 0);
  }

  @Test
  void callerThatNeverFinishesItsRequestIsDisconnected() throws IOException {
    try (Socket socket = UwsgiClient.open(env.uwsgiPort)) {
      socket.getOutputStream().write(packet(vars("GET", "/cards/1/balance", "till"), ""), 0, 9);
      assertEquals(-1, socket.getInputStream().read());
    }
    env.await(core -> core.counters().get("uwsgi.slow") == 1);
  }

  @Test
  void callerThatReadsTooSlowlyIsDisconnected() throws Exception {
    env.backend.bytes = 6_000_000;
    try (Socket socket = UwsgiClient.open(env.uwsgiPort)) {
      socket.getOutputStream().write(packet(vars("GET", "/files/a", "till"), ""));
      long start = System.nanoTime();
      long taken = 0;
      try {
        // The client always makes some progress, but reading 6 MB would take over 6 s.
        for (int got = 0; got >= 0; taken += got) {
          Thread.sleep(50);
          got = socket.getInputStream().read(new byte[50_000]);
        }
      } catch (java.net.SocketException e) {
        // the connection was reset
      }
      assertTrue(taken < 6_000_000, "the complete response was read");
      assertTrue(System.nanoTime() - start < 10_000_000_000L, "disconnected late");
    }
    env.await(
        core -> env.node.uwsgi().openConnections() == 0 && env.node.uwsgi().bufferedBytes() == 0);
  }

  @Test
  void idempotencyKeyRunsOnceAcrossBothFronts() throws IOException {
    String key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    assertEquals(FakeRuntime.result("load 5"), load(key, "load 5").body());
    try (RespClient resp = new RespClient(env.node.port(), null)) {
      resp.send(
          RespClient.array(
              "DO",
              1,
              "card-load",
              RespClient.fields("00000000000000a1", "small", 900, key),
              "load 5"));
      assertEquals(FakeRuntime.result("load 5"), resp.answer().get(3));
      resp.send(
          RespClient.array(
              "DO",
              2,
              "card-load",
              RespClient.fields("00000000000000a2", "small", 900, "other"),
              "load 6"));
      assertEquals("OK", resp.answer().get(1));
    }
    assertEquals(FakeRuntime.result("load 6"), load("other", "load 6").body());
    // The key belongs to a request with another body.
    assertEquals(400, load("other", "load 7").status());
    assertEquals(1, env.runtime.startsOf("load 5"));
    assertEquals(1, env.runtime.startsOf("load 6"));
    assertEquals(0, env.runtime.startsOf("load 7"));
  }

  /**
   * Callers stop reading in the middle of large responses. The other frontend must continue
   * undelayed, the buffered bytes stay within their bound, and the connections are closed in time.
   */
  @Test
  void callerThatStopsReadingDelaysNoOtherCaller() throws Exception {
    env.backend.bytes = 6_000_000;
    Map<Integer, Socket> stuck = new HashMap<>();
    // Two responses fit into the bound on buffered bytes; the other callers get a 502.
    for (int i = 0; i < 4; i++) {
      Socket socket = UwsgiClient.open(env.uwsgiPort);
      socket.getOutputStream().write(packet(vars("GET", "/files/" + i, "till"), ""));
      stuck.put(i, socket);
      int want = i + 1;
      env.await(
          core ->
              core.counters().get("uwsgi.status.200") + core.counters().get("uwsgi.noroom")
                  == want);
    }
    assertEquals(2L, env.ask(core -> core.counters().get("uwsgi.noroom")).longValue());
    assertTrue(env.ask(core -> env.node.uwsgi().bufferedBytes()) <= 12_000_000);
    assertNotNull(stuck.get(0).getInputStream().readNBytes(100_000));
    long start = System.nanoTime();
    try (RespClient resp = new RespClient(env.node.port(), null)) {
      for (int tag = 1; tag <= 40; tag++) {
        resp.send(
            RespClient.array(
                "DO",
                tag,
                "balance-check",
                RespClient.fields(String.format("%016x", tag), "small", 900, null),
                "b" + tag));
        assertEquals(FakeRuntime.result("b" + tag), resp.answer().get(3));
      }
    }
    assertTrue(System.nanoTime() - start < 4_000_000_000L, "the RESP frontend was delayed");
    env.await(
        core -> env.node.uwsgi().openConnections() <= 2 && env.node.uwsgi().bufferedBytes() == 0);
    for (Socket socket : stuck.values()) {
      socket.close();
    }
    env.await(core -> env.node.uwsgi().openConnections() == 0);
    env.backend.bytes = 10;
    assertEquals(200, get("/files/a").status());
  }
}
