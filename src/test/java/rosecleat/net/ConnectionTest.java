package rosecleat.net;

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
 * Ends of connections that cross what their peers do: the loop stands still until the peer has done
 * it.
 */
class ConnectionTest {
  private final Log log = new Log(System.err);
  private EventLoop loop;
  private LoopGate gate;
  private Listener listener;
  private final CompletableFuture<Connection> taken = new CompletableFuture<>();
  private final CompletableFuture<Failure> ended = new CompletableFuture<>();
  private boolean owes;

  /**
   * Echoes what comes; a "q" is taken and owed an answer, which {@link #answer} gives, and a "c" is
   * a reason to close.
   */
  private final class Echo implements ConnectionHandler {
    private final Connection connection;

    Echo(Connection connection) {
      this.connection = connection;
      connection.start(this);
      taken.complete(connection);
    }

    @Override
    public boolean hasPendingResponses() {
      return owes;
    }

    @Override
    public void received(ByteBuffer bytes) {
      while (bytes.hasRemaining()) {
        byte word = bytes.get();
        owes |= word == 'q';
        if (word == 'c') {
          connection.closeGracefully();
        } else if (word != 'q') {
          connection.write(ByteBuffer.wrap(new byte[] {word}));
        }
      }
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      listener.connectionClosed(connection);
      ended.complete(failure);
    }
  }

  private void answer() {
    gate.on(
        () -> {
          owes = false;
          return taken.join().write(ByteBuffer.wrap(new byte[] {'a'}));
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
    taken.get(5, TimeUnit.SECONDS);
    return socket;
  }

  private void closeGracefully() {
    loop.execute(() -> taken.join().closeGracefully());
  }

  /**
   * Guards a request that had come before its connection was closed, and of which the loop had not
   * heard.
   */
  @Test
  void whatHadArrivedWhenTheCloseCameIsAnswered() throws Exception {
    try (Socket peer = connect()) {
      gate.hold();
      closeGracefully(); // the loop will do this first,
      peer.getOutputStream().write('x'); // and hear of this behind it
      gate.settle();
      gate.release();
      assertEquals('x', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
    }
  }

  /**
   * Guards what stands behind the reason for a close, in the same bytes: it has come, and its owner
   * is about to read it.
   */
  @Test
  void whatStandsBehindTheReasonToCloseIsAnswered() throws Exception {
    try (Socket peer = connect()) {
      peer.getOutputStream().write(new byte[] {'c', 'x'});
      assertEquals('x', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
    }
  }

  /**
   * Guards requests that run while their connection is closed, and those that still come meanwhile.
   */
  @Test
  void aCloseWaitsForWhatIsOwedAndHearsWhatComesMeanwhile() throws Exception {
    try (Socket peer = connect()) {
      peer.getOutputStream().write('q');
      gate.settle();
      closeGracefully();
      peer.getOutputStream().write('y');
      assertEquals('y', peer.getInputStream().read());
      answer();
      assertEquals('a', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
    }
  }

  /** Guards answers against a reset: what comes behind the end is read, though nobody hears it. */
  @Test
  void whatCrossesTheEndIsNotHeardAndResetsNothing() throws Exception {
    try (Socket peer = connect()) {
      peer.getOutputStream().write('z');
      gate.settle();
      closeGracefully();
      gate.on(() -> 0);
      peer.getOutputStream().write("late".getBytes());
      gate.settle();
      gate.on(() -> 0);
      peer.getOutputStream()
          .write("later".getBytes()); // a reset would fail this write, or the reading
      assertEquals('z', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
      assertFalse(ended.isDone(), "it waits for its peer");
    }
    assertEquals(Progress.SENT, ended.get(5, TimeUnit.SECONDS).progress());
  }

  @Test
  void closingTwiceIsClosingOnceAndNothingIsWrittenBehindTheEnd() throws Exception {
    try (Socket peer = connect()) {
      gate.on(
          () -> {
            Connection connection = taken.join();
            connection.write(ByteBuffer.wrap(new byte[] {'1'}));
            connection.closeGracefully();
            connection.closeGracefully();
            return connection.write(
                ByteBuffer.wrap(new byte[] {'2'})); // the end was not told yet: this still goes
          });
      assertEquals('1', peer.getInputStream().read());
      assertEquals('2', peer.getInputStream().read());
      assertEquals(-1, peer.getInputStream().read());
      assertFalse(gate.on(() -> taken.join().write(ByteBuffer.wrap(new byte[] {'3'}))));
    }
  }

  /** Guards descriptors: a peer that never closes in its turn is not waited for for ever. */
  @Test
  void aPeerThatNeverClosesIsLetGo() throws Exception {
    try (Socket peer = connect()) {
      closeGracefully();
      assertEquals(-1, peer.getInputStream().read());
      ended.get(5, TimeUnit.SECONDS);
    }
  }

  /**
   * Guards owners against a connection that was closed before they got it: a time-out that the loop
   * hears of before the connect, which had come to pass, makes the attempt a failed one, and
   * nothing was sent.
   */
  @Test
  void aTimeOutThatCrossesTheConnectIsAFailedAttempt() throws Exception {
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

  /** Guards the proof in an error: a connection that ended takes not a byte, and says so. */
  @Test
  void whatIsWrittenBehindTheEndIsRefused() throws Exception {
    connect().close();
    ended.get(5, TimeUnit.SECONDS);
    assertFalse(gate.on(() -> taken.join().write(ByteBuffer.allocate(1))));
    assertTrue(gate.on(() -> taken.join().isClosed()));
  }
}
