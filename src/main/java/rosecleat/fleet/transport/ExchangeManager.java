package rosecleat.fleet.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import rosecleat.fleet.Endpoint;
import rosecleat.fleet.ExchangeSession;

/** Manages the exchanges over TCP that this process has opened or accepted. */
final class ExchangeManager {
  private static final int MAX_INBOUND = 16;
  private static final int MAX_OUTBOUND = 4;

  private final Selector selector;
  private final MonotonicClock clock;
  private final CounterBuffer counters;
  private final ByteBuffer buffer;
  private final Runnable afterFrame;
  private final Map<Integer, Supplier<ExchangeSession>> responders = new HashMap<>();
  private final Map<SelectionKey, ExchangeConnection> connections = new HashMap<>();

  /**
   * Creates a manager that reads into the given buffer and calls {@code afterFrame} after each
   * handled frame.
   */
  ExchangeManager(
      Selector selector,
      MonotonicClock clock,
      CounterBuffer counters,
      ByteBuffer buffer,
      Runnable afterFrame) {
    this.selector = selector;
    this.clock = clock;
    this.counters = counters;
    this.buffer = buffer;
    this.afterFrame = afterFrame;
  }

  /** Registers the supplier of sessions that answer exchanges of a kind. */
  void registerResponder(int kind, Supplier<ExchangeSession> responder) {
    responders.put(kind, responder);
  }

  /** Opens an exchange; returns false if too many are open or no connection can be opened. */
  boolean open(int kind, Endpoint peer, ExchangeSession session) {
    long outbound = connections.values().stream().filter(ExchangeConnection::isOutbound).count();
    if (outbound >= MAX_OUTBOUND) {
      return false;
    }
    SocketChannel channel = null;
    try {
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      InetAddress host = InetAddress.getByName(peer.host()); // literal: no name service lookup
      channel.connect(new InetSocketAddress(host, peer.port()));
      SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT);
      connections.put(key, ExchangeConnection.outbound(channel, kind, session, clock.nowUs()));
      return true;
    } catch (IOException | RuntimeException e) {
      counters.increment(TransportCounter.EXCHANGES_NOT_OPENED);
      Closeables.closeQuietly(channel);
      return false;
    }
  }

  /** Accepts a connection, unless too many are open. */
  void accept(ServerSocketChannel listener) throws IOException {
    SocketChannel channel = listener.accept();
    if (channel == null) {
      return;
    }
    if (connections.size() >= MAX_INBOUND + MAX_OUTBOUND) {
      counters.increment(TransportCounter.EXCHANGES_OVER_LIMIT);
      Closeables.closeQuietly(channel);
      return;
    }
    channel.configureBlocking(false);
    SelectionKey key = channel.register(selector, SelectionKey.OP_READ);
    connections.put(key, ExchangeConnection.inbound(channel, clock.nowUs()));
  }

  /** Continues the exchange on a connection that is ready. */
  void onReady(SelectionKey key) {
    ExchangeConnection connection = connections.get(key);
    if (connection == null) {
      key.cancel();
      return;
    }
    try {
      if (key.isConnectable()) {
        connection.channel().finishConnect();
        sendNext(key, connection, null);
      } else if (key.isWritable()) {
        write(key, connection);
      } else if (key.isReadable()) {
        read(key, connection);
      }
    } catch (IOException | CancelledKeyException e) {
      // the opener closes the connection between two frames, which completes the exchange for the
      // accepting side
      boolean complete = !connection.isOutbound() && connection.frames().isIdle();
      counters.increment(
          complete ? TransportCounter.EXCHANGES_COMPLETED : TransportCounter.EXCHANGES_BROKEN);
      end(key, connection, true);
    }
  }

  private void read(SelectionKey key, ExchangeConnection connection) throws IOException {
    Optional<byte[]> frame = connection.frames().read(buffer);
    connection.progressed(clock.nowUs());
    if (frame.isEmpty()) {
      return;
    }
    if (connection.session().isEmpty()) {
      Supplier<ExchangeSession> responder = responders.get(connection.kind());
      if (responder == null) {
        throw new IOException("no responder for exchanges of kind " + connection.kind());
      }
      connection.setSession(responder.get());
    }
    sendNext(key, connection, frame.get());
  }

  /** Sends the session's next frame, or ends a complete exchange. */
  private void sendNext(SelectionKey key, ExchangeConnection connection, byte[] received)
      throws IOException {
    byte[] next = connection.session().orElseThrow().nextFrame(received, clock.nowUs());
    afterFrame.run();
    if (next == null) {
      counters.increment(TransportCounter.EXCHANGES_COMPLETED);
      end(key, connection, false);
      return;
    }
    connection.frames().send(connection.kind(), next);
    connection.progressed(clock.nowUs());
    counters.add(TransportCounter.EXCHANGE_BYTES, next.length);
    write(key, connection);
  }

  private void write(SelectionKey key, ExchangeConnection connection) throws IOException {
    boolean complete = connection.frames().write();
    connection.progressed(clock.nowUs());
    key.interestOps(complete ? SelectionKey.OP_READ : SelectionKey.OP_WRITE);
  }

  private void end(SelectionKey key, ExchangeConnection connection, boolean aborted) {
    connections.remove(key);
    key.cancel();
    Closeables.closeQuietly(connection.channel());
    if (aborted) {
      connection.session().ifPresent(ExchangeSession::aborted);
    }
  }

  /** Aborts the exchanges that make no progress or exceed the total time. */
  void endStalled(long nowUs) {
    List<SelectionKey> stalled = new ArrayList<>();
    connections.forEach(
        (key, connection) -> {
          if (connection.isStalled(nowUs)) {
            stalled.add(key);
          }
        });
    for (SelectionKey key : stalled) {
      counters.increment(TransportCounter.EXCHANGES_STALLED);
      end(key, connections.get(key), true);
    }
  }

  /** Closes all connections. */
  void close() {
    connections.values().forEach(connection -> Closeables.closeQuietly(connection.channel()));
  }
}
