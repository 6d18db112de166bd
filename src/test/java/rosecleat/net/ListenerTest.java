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

/** Eviction of connections by a listener at its maximum, and closing of listeners. */
class ListenerTest {
  private final Log log = new Log(System.err);
  private EventLoop loop;
  private Listener listener;
  private final List<Socket> clients = new ArrayList<>();

  /** Echoes each byte; after a "b" the connection is reported as busy until it ends. */
  private final class Echo implements ConnectionHandler {
    private final Connection connection;
    private ConnectionUsage usage = ConnectionUsage.UNUSED;

    Echo(Connection connection) {
      this.connection = connection;
      connection.start(this);
    }

    @Override
    public ConnectionUsage usage() {
      return usage;
    }

    @Override
    public void received(ByteBuffer bytes) {
      byte value = bytes.get();
      usage =
          value == 'b' || usage == ConnectionUsage.BUSY
              ? ConnectionUsage.BUSY
              : ConnectionUsage.IDLE;
      connection.write(ByteBuffer.wrap(new byte[] {value}));
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      listener.connectionClosed(connection);
    }
  }

  private void listen(int maxConnections) throws IOException {
    loop = new EventLoop(log);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            maxConnections,
            ConnectionLimits.SMALL,
            Echo::new);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
    socket.setSoTimeout(10_000);
    clients.add(socket);
    return socket;
  }

  private static int echo(Socket socket, char value) throws IOException {
    socket.getOutputStream().write(value);
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
   * During an upgrade two processes listen at the same address, and the old one closes its listener
   * while clients connect.
   */
  @Test
  void closingOneOfTwoListenersOnSharedAddressResetsNoConnection() throws Exception {
    loop = new EventLoop(log);
    listener =
        new Listener(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            2_000,
            ConnectionLimits.SMALL,
            Echo::new,
            true);
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
    Listener other =
        new Listener(
            loop,
            address,
            1 << 20,
            ConnectionLimits.SMALL,
            Echo::new,
            true); // Echo does not report closed connections to this listener
    boolean[] closed = new boolean[1];
    loop.schedule(50_000, () -> closeWhenBacklogEmpty(closed));
    int connections = 0;
    for (long end = System.nanoTime() + 300_000_000; System.nanoTime() < end; connections++) {
      try (Socket socket =
          new Socket(address.getAddress(), address.getPort())) { // no pause between connections
        socket.setSoTimeout(5_000);
        assertEquals('x', echo(socket, 'x'), "rejected after " + connections);
      }
    }
    assertEquals(true, closed[0]);
    assertEquals(address.getPort(), other.port());
  }

  private void closeWhenBacklogEmpty(boolean[] closed) {
    closed[0] = listener.closeWhenBacklogEmpty();
    if (!closed[0]) {
      loop.schedule(2_000, () -> closeWhenBacklogEmpty(closed));
    }
  }

  @Test
  void unusedThenLongestIdleConnectionsAreEvictedAtMaximum() throws Exception {
    listen(4);
    Socket busy = connect();
    assertEquals('b', echo(busy, 'b'));
    Socket older = connect();
    assertEquals('x', echo(older, 'x'));
    Socket unused = connect();
    Thread.sleep(300); // nothing can be in flight on the unused connection any more
    assertEquals('x', echo(connect(), 'x')); // takes the last slot, so the unused one is evicted
    assertEquals(-1, unused.getInputStream().read());
    assertEquals('x', echo(connect(), 'x')); // evicts the longest idle connection
    assertEquals(-1, older.getInputStream().read());
    assertEquals('x', echo(busy, 'x'));
  }

  @Test
  void evictedConnectionWhoseFirstBytesAreInFlightIsAnswered() throws Exception {
    listen(2);
    try (LoopGate gate = new LoopGate(loop)) {
      Socket first = connect();
      Thread.sleep(300); // nothing can be in flight on the first connection any more
      gate.hold();
      connect(); // takes the last slot, so the loop evicts the first connection
      gate.settle();
      first.getOutputStream().write('x'); // the loop handles this byte after the eviction
      gate.settle();
      gate.release();
      assertEquals('x', first.getInputStream().read());
      assertEquals(-1, first.getInputStream().read()); // evicted
    }
  }

  @Test
  void backlogIsAcceptedBeforeTheListenerCloses() throws Exception {
    listen(2);
    try (LoopGate gate = new LoopGate(loop)) {
      int port = listener.port();
      Socket busy = connect();
      assertEquals('b', echo(busy, 'b'));
      assertEquals('b', echo(connect(), 'b'));
      Socket queued = connect();
      queued.getOutputStream().write('x');
      assertEquals(false, gate.call(() -> listener.closeAfterQuietPeriod(0)));
      busy.close();
      assertEquals('x', queued.getInputStream().read());
      while (!gate.call(() -> listener.closeAfterQuietPeriod(0))) {
        Thread.yield();
      }
      assertThrows(
          ConnectException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
    }
  }

  /**
   * The first bytes on a new connection may be in flight, so it must not be evicted, even if all
   * other connections are busy.
   */
  @Test
  void youngUnusedConnectionIsNotEvicted() throws Exception {
    listen(2);
    try (LoopGate gate = new LoopGate(loop)) {
      assertEquals('b', echo(connect(), 'b'));
      Socket newcomer = connect();
      gate.settle();
      gate.run(() -> {}); // now the connection is accepted, and the first eviction has run
      assertEquals('x', echo(newcomer, 'x'));
    }
  }

  @Test
  void slotsOfPeersThatNeverCloseAreFreedWithinFiveSeconds() throws Exception {
    int maxConnections = 64;
    listen(maxConnections);
    for (int i = 0; i < maxConnections; i++) {
      connect();
    }
    long startNs = System.nanoTime();
    for (int i = 0; i < maxConnections - 1; i++) { // eviction always frees one more slot
      assertEquals('b', echo(connect(), 'b'));
    }
    assertTrue(
        System.nanoTime() - startNs < 5_000_000_000L,
        "took " + (System.nanoTime() - startNs) / 1_000_000 + " ms");
  }
}
