package rosecleat.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.Failure;
import rosecleat.core.Progress;
import rosecleat.log.Log;

/**
 * Closing of connections while their peers send, connect or close. A {@link LoopGate} pauses the
 * event loop, so that both happen in a defined order.
 */
class ConnectionTest {
  private final Log log = new Log(System.err);
  private EventLoop loop;
  private LoopGate gate;
  private Listener listener;
  private final CompletableFuture<Connection> accepted = new CompletableFuture<>();
  private final CompletableFuture<Failure> ended = new CompletableFuture<>();
  private boolean responsePending;

  /**
   * Echoes each byte, except for two commands: the response to "q" is pending until {@link
   * #completePendingResponse}, and "c" closes the connection gracefully.
   */
  private final class Echo implements ConnectionHandler {
    private final Connection connection;

    Echo(Connection connection) {
      this.connection = connection;
      connection.start(this);
      accepted.complete(connection);
    }

    @Override
    public boolean hasPendingResponses() {
      return responsePending;
    }

    @Override
    public void received(ByteBuffer bytes) {
      while (bytes.hasRemaining()) {
        byte command = bytes.get();
        responsePending |= command == 'q';
        if (command == 'c') {
          connection.closeGracefully();
        } else if (command != 'q') {
          connection.write(ByteBuffer.wrap(new byte[] {command}));
        }
      }
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      listener.connectionClosed(connection);
      ended.complete(failure);
    }
  }

  private void completePendingResponse() {
    gate.call(
        () -> {
          responsePending = false;
          return accepted.join().write(ByteBuffer.wrap(new byte[] {'a'}));
        });
  }

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop(log);
    gate = new LoopGate(loop);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            4,
            ConnectionLimits.SMALL,
            Echo::new);
  }

  @AfterEach
  void stop() throws IOException {
    gate.close();
    loop.close();
    log.close();
  }

  private Socket connect() throws Exception {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
    socket.setSoTimeout(5_000);
    accepted.get(5, TimeUnit.SECONDS);
    return socket;
  }

  private void closeGracefully() {
    loop.execute(() -> accepted.join().closeGracefully());
  }

  /** The read has completed, but the loop closes the connection before it handles the result. */
  @Test
  void messageReceivedBeforeCloseIsAnswered() throws Exception {
    try (Socket peer = connect()) {
      gate.hold();
      closeGracefully(); // the loop runs this task first
      peer.getOutputStream().write('x'); // and the completed read of this byte second
      gate.settle();
      gate.release();
      assertEquals('x', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
    }
  }

  /** One read contains the close command and a message that the handler has not consumed yet. */
  @Test
  void messageAfterCloseCommandInSameReadIsAnswered() throws Exception {
    try (Socket peer = connect()) {
      peer.getOutputStream().write(new byte[] {'c', 'x'});
      assertEquals('x', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
    }
  }

  @Test
  void gracefulCloseWaitsForPendingResponseAndStillReceives() throws Exception {
    try (Socket peer = connect()) {
      peer.getOutputStream().write('q');
      gate.settle();
      closeGracefully();
      peer.getOutputStream().write('y');
      assertEquals('y', peer.getInputStream().read());
      completePendingResponse();
      assertEquals('a', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
    }
  }

  /** Closing with unread bytes would reset the connection, and the peer could lose the response. */
  @Test
  void bytesReceivedAfterOutputShutdownAreDroppedWithoutReset() throws Exception {
    try (Socket peer = connect()) {
      peer.getOutputStream().write('z');
      gate.settle();
      closeGracefully();
      gate.run(() -> {});
      peer.getOutputStream().write("late".getBytes(UTF_8));
      gate.settle();
      gate.run(() -> {});
      peer.getOutputStream()
          .write("later".getBytes(UTF_8)); // after a reset this write or the next read would fail
      assertEquals('z', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
      assertFalse(ended.isDone(), "connection ended before its peer closed");
    }
    assertEquals(Progress.SENT, ended.get(5, TimeUnit.SECONDS).progress());
  }

  @Test
  void secondGracefulCloseHasNoEffectAndWriteAfterOutputShutdownIsRejected() throws Exception {
    try (Socket peer = connect()) {
      gate.call(
          () -> {
            Connection connection = accepted.join();
            connection.write(ByteBuffer.wrap(new byte[] {'1'}));
            connection.closeGracefully();
            connection.closeGracefully();
            return connection.write(
                ByteBuffer.wrap(new byte[] {'2'})); // the first byte is queued: output still open
          });
      assertEquals('1', peer.getInputStream().read());
      assertEquals('2', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
      assertFalse(gate.call(() -> accepted.join().write(ByteBuffer.wrap(new byte[] {'3'}))));
    }
  }

  @Test
  void halfClosedConnectionIsClosedAfterLingerTime() throws Exception {
    try (Socket peer = connect()) {
      closeGracefully();
      assertEquals(-1, peer.getInputStream().read());
      ended.get(5, TimeUnit.SECONDS);
    }
  }

  /**
   * The connect operation completes, but the loop runs the timeout first. The handler must not
   * receive the connection that the timeout has closed.
   */
  @Test
  void connectTimeoutHandledBeforeCompletionFailsTheAttempt() throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      gate.hold();
      Connection.connect(
          loop,
          new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
          0,
          ConnectionLimits.SMALL,
          new ConnectHandler() {
            @Override
            public void connected(Connection connection) {
              connection.start(
                  new ConnectionHandler() {
                    @Override
                    public void received(ByteBuffer bytes) {}

                    @Override
                    public void closed(Failure failure, boolean endOfStream) {}
                  });
              outcome.complete(
                  "connected, and can be written to: " + connection.write(ByteBuffer.allocate(1)));
            }

            @Override
            public void failed(Failure failure) {
              outcome.complete("failed, never ran: " + failure.progress().neverRan());
            }
          });
      server.accept();
      gate.settle();
      gate.release();
      assertEquals("failed, never ran: true", outcome.get(5, TimeUnit.SECONDS));
    }
  }

  /** A rejected write proves that a request was not sent, so that it may be sent again. */
  @Test
  void writeAfterCloseIsRejected() throws Exception {
    connect().close();
    ended.get(5, TimeUnit.SECONDS);
    assertFalse(gate.call(() -> accepted.join().write(ByteBuffer.allocate(1))));
    assertTrue(gate.call(() -> accepted.join().isClosed()));
  }
}
