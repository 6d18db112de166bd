package rosecleat.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.Counters;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/** Responses of the admin server, and its protection against clients that block others. */
class AdminServerTest {
  private final Log log = new Log(System.err);
  private final List<String> executed = new ArrayList<>();
  private final List<Socket> clients = new ArrayList<>();
  private volatile boolean ready;
  private EventLoop loop;
  private AdminServer server;

  @BeforeEach
  void open() throws IOException {
    loop = new EventLoop(log);
    server =
        new AdminServer(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            new AdminOperations() {
              @Override
              public boolean isReady() {
                return ready;
              }

              @Override
              public void drain() {
                executed.add("drain");
              }

              @Override
              public void activate() {
                executed.add("activate");
              }
            },
            new Counters(),
            log);
  }

  @AfterEach
  void close() throws IOException {
    for (Socket client : clients) {
      client.close();
    }
    loop.close();
    log.close();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    socket.setSoTimeout(5_000); // shorter than the server's request timeout
    clients.add(socket);
    return socket;
  }

  private int send(String text) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return Integer.parseInt(reply.split(" ")[1]);
    }
  }

  private int request(String method, String path) throws IOException {
    return send(method + " " + path + " HTTP/1.1\r\nHost: here\r\n\r\n");
  }

  @Test
  void eachPathAndMethodHasItsDocumentedStatus() throws IOException {
    assertEquals(503, request("GET", "/v1/readyz"));
    ready = true;
    assertEquals(200, request("GET", "/v1/readyz"));
    assertEquals(
        200, send("PUT /v1/card-node/drain HTTP/1.1\r\nHost: here\r\nContent-Length: 2\r\n\r\n{}"));
    assertEquals(200, request("PUT", "/v1/card-node/activate"));
    assertEquals(List.of("drain", "activate"), executed);
    assertEquals(405, request("GET", "/v1/card-node/drain"));
    assertEquals(405, request("PUT", "/v1/readyz"));
    assertEquals(404, request("GET", "/v1/ready"));
    assertEquals(2, executed.size());
  }

  @Test
  void malformedRequestsAreRejectedAndExecuteNothing() throws IOException {
    assertEquals(400, send("PUT /v1/card-node/drain\r\n\r\n"));
    assertEquals(400, send("PUT /v1/card-node/drain HTTP/1.1\r\n\r\n")); // no host
    assertEquals(400, send("PUT /v1/card-node/drain HTTP/1.1\r\nHost : here\r\n\r\n"));
    assertEquals(
        400, send("PUT /v1/card-node/drain HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"));
    assertEquals(
        413, send("PUT /v1/card-node/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n"));
    assertEquals(
        501,
        send("PUT /v1/card-node/drain HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"));
    assertEquals(505, send("PUT /v1/card-node/drain HTTP/2.0\r\nHost: a\r\n\r\n"));
    assertEquals(431, send("GET /" + "x".repeat(6_000)));
    assertEquals(431, send("GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(100)));
    assertEquals(List.of(), executed);
  }

  /**
   * Clients that send nothing or an incomplete request occupy all connections that the server
   * accepts. Complete requests of other clients must still be answered within 4 s.
   */
  @Test
  void clientsWithIncompleteRequestsDoNotBlockOthers() throws Exception {
    for (int i = 0; i < 20; i++) {
      Socket incomplete = connect();
      if (i % 2 == 0) {
        incomplete.getOutputStream().write("GET /v1/re".getBytes(StandardCharsets.UTF_8));
      }
    }
    ready = true;
    long start = System.nanoTime();
    for (int i = 0; i < 20; i++) {
      assertEquals(200, request("GET", "/v1/readyz"));
    }
    assertTrue(
        System.nanoTime() - start < 4_000_000_000L,
        "20 complete requests beside incomplete ones took 4 s or longer");
  }
}
