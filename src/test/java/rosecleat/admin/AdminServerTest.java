package rosecleat.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.Counters;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/** The operators' door: what it answers, and that no caller holds up another. */
class AdminServerTest {
  private final Log log = new Log(System.err);
  private final List<String> told = new ArrayList<>();
  private final List<Socket> clients = new ArrayList<>();
  private volatile boolean ready;
  private EventLoop loop;
  private AdminServer door;

  @BeforeEach
  void open() throws IOException {
    loop = new EventLoop(log);
    door =
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
                told.add("drain");
              }

              @Override
              public void activate() {
                told.add("activate");
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
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), door.port());
    socket.setSoTimeout(5_000); // sooner than the door gives up silent callers
    clients.add(socket);
    return socket;
  }

  private int call(String text) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return Integer.parseInt(reply.split(" ")[1]);
    }
  }

  private int ask(String method, String path) throws IOException {
    return call(method + " " + path + " HTTP/1.1\r\nHost: here\r\n\r\n");
  }

  @Test
  void eachCallIsAnsweredAsThePageSays() throws IOException {
    assertEquals(503, ask("GET", "/v1/readyz"));
    ready = true;
    assertEquals(200, ask("GET", "/v1/readyz"));
    assertEquals(
        200, call("PUT /v1/card-node/drain HTTP/1.1\r\nHost: here\r\nContent-Length: 2\r\n\r\n{}"));
    assertEquals(200, ask("PUT", "/v1/card-node/activate"));
    assertEquals(List.of("drain", "activate"), told);
    assertEquals(405, ask("GET", "/v1/card-node/drain"));
    assertEquals(405, ask("PUT", "/v1/readyz"));
    assertEquals(404, ask("GET", "/v1/ready"));
    assertEquals(2, told.size());
  }

  @Test
  void whatIsNoCallIsAnsweredAsThat() throws IOException {
    assertEquals(400, call("PUT /v1/card-node/drain\r\n\r\n"));
    assertEquals(400, call("PUT /v1/card-node/drain HTTP/1.1\r\n\r\n")); // no host
    assertEquals(400, call("PUT /v1/card-node/drain HTTP/1.1\r\nHost : here\r\n\r\n"));
    assertEquals(
        400, call("PUT /v1/card-node/drain HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"));
    assertEquals(
        413, call("PUT /v1/card-node/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n"));
    assertEquals(
        501,
        call("PUT /v1/card-node/drain HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"));
    assertEquals(505, call("PUT /v1/card-node/drain HTTP/2.0\r\nHost: a\r\n\r\n"));
    assertEquals(431, call("GET /" + "x".repeat(6_000)));
    assertEquals(431, call("GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(100)));
    assertEquals(List.of(), told);
  }

  /**
   * Guards callers against others that connect and say nothing, or never all: those take every
   * place there is.
   */
  @Test
  void whoNeverFinishesHoldsUpNobody() throws Exception {
    for (int i = 0; i < 20; i++) {
      Socket silent = connect();
      if (i % 2 == 0) {
        silent.getOutputStream().write("GET /v1/re".getBytes(StandardCharsets.UTF_8));
      }
    }
    ready = true;
    long start = System.nanoTime();
    for (int i = 0; i < 20; i++) {
      assertEquals(200, ask("GET", "/v1/readyz"));
    }
    assertTrue(System.nanoTime() - start < 4_000_000_000L, "callers were held up");
  }

  /**
   * A call reads the same in whatever pieces it comes: a model of the reader against random cuts.
   */
  @Property(tries = 200, seed = "20261201")
  void piecesChangeNothing(
      @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 40) Integer> cuts) {
    byte[] text =
        "PUT /v1/card-node/drain HTTP/1.1\r\nHost: here\r\nContent-Length: 5\r\n\r\nabcde"
            .getBytes(StandardCharsets.UTF_8);
    HttpCall call = new HttpCall();
    int at = 0;
    for (int cut : cuts) {
      int end = Math.min(text.length, at + cut);
      boolean whole = call.take(ByteBuffer.wrap(text, at, end - at));
      at = end;
      assertEquals(at == text.length, whole);
      if (whole) {
        return;
      }
    }
    assertTrue(call.take(ByteBuffer.wrap(text, at, text.length - at)));
    assertEquals(0, call.wrong());
    assertEquals("/v1/card-node/drain", call.target());
  }
}
