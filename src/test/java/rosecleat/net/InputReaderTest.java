package rosecleat.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosecleat.core.Failure;
import rosecleat.log.Log;

/** In which order a connection handles its input, the end of it, and other tasks of the loop. */
class InputReaderTest {
  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(
          1 << 10,
          64 << 10,
          1 << 20,
          5_000_000,
          new ReadAheadMemory(1 << 20),
          OutputMemory.UNLIMITED);

  private final List<String> events = new ArrayList<>();
  private final CompletableFuture<Failure> ended = new CompletableFuture<>();
  private final CompletableFuture<Connection> accepted = new CompletableFuture<>();
  private int receivedBytes;
  private boolean discards;
  private EventLoop loop;
  private LoopGate gate;
  private Listener listener;

  private final class Recorder implements ConnectionHandler {
    @Override
    public void received(ByteBuffer bytes) {
      receivedBytes += bytes.remaining();
      byte[] text = new byte[bytes.remaining()];
      bytes.get(text);
      events.add(new String(text, StandardCharsets.US_ASCII));
    }

    @Override
    public boolean discardsInputAtEnd() {
      return discards;
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      ended.complete(failure);
    }
  }

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop(Log.silent());
    gate = new LoopGate(loop);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            2,
            LIMITS,
            connection -> {
              connection.start(new Recorder());
              accepted.complete(connection);
            });
  }

  @AfterEach
  void stop() throws IOException {
    gate.close();
    loop.close();
  }

  private Socket connect() throws Exception {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
    accepted.get(5, TimeUnit.SECONDS);
    return socket;
  }

  /** Sends bytes and closes the connection before the loop can handle any of them. */
  private void sendAndClose(int bytes) throws Exception {
    Socket peer = connect();
    gate.hold();
    peer.getOutputStream().write(new byte[bytes]);
    peer.close();
    gate.settle();
    gate.release();
    ended.get(5, TimeUnit.SECONDS);
  }

  /** All input in front of the end is handled where the peer's messages matter without the peer. */
  @ParameterizedTest
  @ValueSource(ints = {1, 512, 1_024, 1_025, 40_000})
  void inputInFrontOfTheEndIsHandled(int bytes) throws Exception {
    sendAndClose(bytes);
    assertEquals(bytes, gate.call(() -> receivedBytes));
  }

  /** Guards against handling what a client sent that has closed its connection by then. */
  @ParameterizedTest
  @ValueSource(ints = {1, 512, 1_024, 1_025, 40_000})
  void inputInFrontOfTheEndIsDroppedForClients(int bytes) throws Exception {
    discards = true;
    sendAndClose(bytes);
    assertEquals(0, gate.call(() -> receivedBytes));
  }

  /**
   * Guards a task that was posted before the input arrived, such as a reload, against input that is
   * handled first because an earlier write has just completed.
   */
  @Test
  void inputIsHandledAfterTasksPostedBeforeItArrived() throws Exception {
    try (Socket peer = connect()) {
      gate.hold();
      loop.execute(() -> accepted.join().write(ByteBuffer.wrap(new byte[] {'w'})));
      loop.execute(() -> awaitArrival(peer));
      gate.release();
      ended.get(5, TimeUnit.SECONDS);
      assertEquals(List.of("task", "x"), gate.call(() -> List.copyOf(events)));
    }
  }

  /** On the loop: lets the completed write be posted, and then input of the peer arrive. */
  private void awaitArrival(Socket peer) {
    try {
      assertEquals('w', peer.getInputStream().read());
      Thread.sleep(50);
      loop.execute(() -> events.add("task"));
      peer.getOutputStream().write('x');
      peer.close();
      Thread.sleep(50);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
