package rosecleat.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.Failure;
import rosecleat.log.Log;

/** What a listener does when all its places are taken. */
class ListenerTest {
  private final Log log = new Log(System.err);
  private EventLoop loop;
  private Listener listener;
  private final List<Socket> clients = new ArrayList<>();

  /** Echoes; a "b" makes its connection busy for good. */
  private final class Echo implements ConnectionHandler {
    private final Connection connection;
    private ConnectionUsage use = ConnectionUsage.UNUSED;

    Echo(Connection connection) {
      this.connection = connection;
      connection.start(this);
    }

    @Override
    public ConnectionUsage usage() {
      return use;
    }

    @Override
    public void received(ByteBuffer bytes) {
      byte word = bytes.get();
      use =
          word == 'b' || use == ConnectionUsage.BUSY ? ConnectionUsage.BUSY : ConnectionUsage.IDLE;
      connection.write(ByteBuffer.wrap(new byte[] {word}));
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      listener.connectionClosed(connection);
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
    socket.setSoTimeout(10_000);
    clients.add(socket);
    return socket;
  }

  private static int say(Socket socket, char word) throws IOException {
    socket.getOutputStream().write(word);
    return socket.getInputStream().read();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket client : clients) {
      client.close();
    }
    loop.close();
    log.close();
  }

  /**
   * Guards callers in an upgrade: of those that connect while one of two sockets closes, none may
   * be turned back.
   */
  @Test
  void aSharedAddressLosesNobodyWhileOneOfTwoCloses() throws Exception {
    loop = new EventLoop(log);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            2_000,
            ConnectionLimits.SMALL,
            Echo::new,
            true);
    InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
    Listener other =
        new Listener(
            loop, at, 1 << 20, ConnectionLimits.SMALL, Echo::new, true); // gets none released
    boolean[] closed = new boolean[1];
    loop.schedule(50_000, () -> closeWhenEmpty(closed));
    int asked = 0;
    for (long end = System.nanoTime() + 300_000_000; System.nanoTime() < end; asked++) {
      try (Socket socket =
          new Socket(at.getAddress(), at.getPort())) { // a storm: it never is quiet
        socket.setSoTimeout(5_000);
        assertEquals('x', say(socket, 'x'), "turned back after " + asked);
      }
    }
    assertEquals(true, closed[0]);
    assertEquals(at.getPort(), other.port());
  }

  private void closeWhenEmpty(boolean[] closed) {
    closed[0] = listener.closeWhenBacklogEmpty();
    if (!closed[0]) {
      loop.schedule(2_000, () -> closeWhenEmpty(closed));
    }
  }

  @Test
  void connectionsThatNobodyUsesMakeRoomTheLongestUnusedFirst() throws Exception {
    loop = new EventLoop(log);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            4,
            ConnectionLimits.SMALL,
            Echo::new);
    Socket busy = connect();
    assertEquals('b', say(busy, 'b'));
    Socket older = connect();
    assertEquals('x', say(older, 'x'));
    Socket silent = connect();
    Thread.sleep(300); // a while in which it might have spoken
    assertEquals('x', say(connect(), 'x')); // takes the last place: the silent one goes
    assertEquals(-1, silent.getInputStream().read());
    assertEquals('x', say(connect(), 'x')); // then the one that has not been used for longest
    assertEquals(-1, older.getInputStream().read());
    assertEquals('x', say(busy, 'x'));
  }

  /**
   * Guards a first request against its place being needed: a silent connection on which bytes are
   * on their way.
   */
  @Test
  void whoseFirstBytesCrossTheNeedForItsPlaceIsAnswered() throws Exception {
    loop = new EventLoop(log);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            2,
            ConnectionLimits.SMALL,
            Echo::new);
    try (LoopGate gate = new LoopGate(loop)) {
      Socket first = connect();
      Thread.sleep(300); // a while in which it might have spoken
      gate.hold();
      connect(); // takes the last place: the loop will look for room before it hears
      gate.settle();
      first.getOutputStream().write('x'); // of this
      gate.settle();
      gate.release();
      assertEquals('x', first.getInputStream().read());
      assertEquals(-1, first.getInputStream().read()); // then its place was needed
    }
  }

  /**
   * Guards what waits unaccepted while all places are taken: a node that leaves takes it before it
   * shuts the door.
   */
  @Test
  void whatWaitsForAPlaceIsTakenBeforeTheListenerCloses() throws Exception {
    loop = new EventLoop(log);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            2,
            ConnectionLimits.SMALL,
            Echo::new);
    try (LoopGate gate = new LoopGate(loop)) {
      int port = listener.port();
      Socket busy = connect();
      assertEquals('b', say(busy, 'b'));
      assertEquals('b', say(connect(), 'b'));
      Socket waits = connect();
      waits.getOutputStream().write('x');
      assertEquals(false, gate.on(() -> listener.closeAfterQuietPeriod(0)));
      busy.close();
      assertEquals('x', waits.getInputStream().read());
      while (!gate.on(() -> listener.closeAfterQuietPeriod(0))) {
        Thread.yield();
      }
      assertThrows(
          ConnectException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
    }
  }

  /**
   * Guards newcomers: where all others are in use, the one whose first bytes are on their way is
   * not the one to go.
   */
  @Test
  void whoHasJustComeIsNoUnusedConnection() throws Exception {
    loop = new EventLoop(log);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            2,
            ConnectionLimits.SMALL,
            Echo::new);
    try (LoopGate gate = new LoopGate(loop)) {
      assertEquals('b', say(connect(), 'b'));
      Socket newcomer = connect();
      gate.settle();
      gate.on(() -> 0); // it has been taken, and a place was looked for
      assertEquals('x', say(newcomer, 'x'));
    }
  }

  /**
   * Guards callers against peers that hold a place and never close it: they are told the end, and
   * not waited for.
   */
  @Test
  void placesOfThoseThatNeverCloseAreFreeInTime() throws Exception {
    loop = new EventLoop(log);
    int most = 64;
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            most,
            ConnectionLimits.SMALL,
            Echo::new);
    for (int i = 0; i < most; i++) {
      connect();
    }
    long began = System.nanoTime();
    for (int i = 0; i < most - 1; i++) { // the last place is always on its way to be free
      assertEquals('b', say(connect(), 'b'));
    }
    assertTrue(
        System.nanoTime() - began < 5_000_000_000L,
        "took " + (System.nanoTime() - began) / 1_000_000 + " ms");
  }
}
