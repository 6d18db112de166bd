package rosecleat.runtime;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.Connector;
import rosecleat.net.EventLoop;
import rosecleat.net.LineBuffer;

/**
 * Maintains one connection to the runtime: connects, reconnects whenever the connection is lost,
 * and moves to a new address. On a move, the connection to the former address is replaced once the
 * runtime has acknowledged the commands sent on it, or after {@link #ACKNOWLEDGEMENT_TIMEOUT_US}.
 * Used on the event loop only.
 */
final class RuntimeLink {
  private static final long CONNECT_TIMEOUT_US = 2_000_000;
  private static final long RECONNECT_DELAY_US = 100_000;
  private static final int MAX_LINE_BYTES = 1 << 20;

  /** Time after which a move to a new address proceeds without an acknowledgement. */
  private static final long ACKNOWLEDGEMENT_TIMEOUT_US = 500_000;

  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(16 << 10, 1 << 20, 4 << 20, 10_000_000);

  /** Receives the events of the link, on the event loop. */
  interface Handler {
    /** A new connection is in use, and nothing has been written to it. */
    void connected();

    /** A line has been received on the connection in use. */
    void received(String line);

    /** The connection in use has ended or is being replaced: what was written to it may be lost. */
    void lost();

    /** Returns whether some commands written to the connection in use are unacknowledged. */
    boolean needsAcknowledgement();

    /** Requests an acknowledgement of all commands written to the connection in use. */
    void requestAcknowledgement();
  }

  private final EventLoop loop;
  private final Counters counters;
  private final Log log;
  private final Handler handler;
  private final Connector connector;

  /** The connection in use; null if there is none. */
  private Connection connection;

  /**
   * The connection to a new address, while it waits for the acknowledgement of the commands sent on
   * the connection in use; null otherwise.
   */
  private Connection successor;

  /**
   * Whether the runtime has sent its readiness on the connection in use, which then accepts
   * commands.
   */
  private boolean ready;

  RuntimeLink(
      EventLoop loop, InetSocketAddress address, Counters counters, Log log, Handler handler) {
    this.loop = loop;
    this.counters = counters;
    this.log = log;
    this.handler = handler;
    connector = new Connector(loop, address, CONNECT_TIMEOUT_US, LIMITS, new ReconnectingHandler());
  }

  void connect() {
    connector.connect();
  }

  void setAddress(InetSocketAddress address) {
    if (!connector.setAddress(Objects.requireNonNull(address))) {
      return;
    }
    ready = false;
    if (successor != null) {
      successor.abort("the address has changed");
      successor = null;
    }
    connect();
  }

  /** Writes a line; returns false, with no byte sent, if no connection accepts it. */
  boolean write(String line) {
    return connection != null
        && connection.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.ISO_8859_1)));
  }

  /**
   * Records that the runtime has sent its readiness on the connection in use. While a move to a new
   * address is pending, the link stays closed to commands.
   */
  void markReady() {
    ready = successor == null;
  }

  /** Returns whether commands may be written. */
  boolean isReady() {
    return ready;
  }

  /** Aborts the connection in use; a new one is established. */
  void abort(String reason) {
    connection.abort(reason);
  }

  /** Completes a pending move to a new address if all commands have been acknowledged. */
  void acknowledgementReceived() {
    if (successor != null && !handler.needsAcknowledgement()) {
      use(successor);
    }
  }

  private final class ReconnectingHandler implements Connector.Handler {
    @Override
    public void connected(Connection established) {
      if (connection != null && handler.needsAcknowledgement()) {
        useOnceAcknowledged(established);
      } else {
        use(established);
      }
    }

    @Override
    public void connectedToFormerAddress() {
      connect();
    }

    @Override
    public void failed(Failure failure, boolean addressChanged) {
      counters.add("runtime.unreached");
      loop.schedule(addressChanged ? 0 : RECONNECT_DELAY_US, RuntimeLink.this::connect);
    }
  }

  private void useOnceAcknowledged(Connection established) {
    successor = established;
    ready = false;
    handler.requestAcknowledgement();
    loop.schedule(
        ACKNOWLEDGEMENT_TIMEOUT_US,
        () -> {
          if (successor == established) {
            counters.add("runtime.unsettled");
            use(established);
          }
        });
  }

  private void use(Connection established) {
    Connection previous = connection;
    connection = established;
    successor = null;
    ready = false;
    if (previous != null) {
      handler.lost();
      previous.closeGracefully(); // unread messages are sent again on the new connection
    }
    established.start(new MessageReader(established));
    handler.connected();
  }

  /** Reads the messages of one connection while it is the connection in use. */
  private final class MessageReader implements ConnectionHandler {
    private final Connection source;
    private final LineBuffer lines = new LineBuffer(MAX_LINE_BYTES);

    MessageReader(Connection source) {
      this.source = source;
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (connection != source) {
        return; // replaced by a newer connection
      }
      if (!lines.append(bytes) || lines.lineTooLong()) {
        source.abort("the runtime sent a line that is too long");
        return;
      }
      for (String line = lines.readLine();
          line != null && connection == source;
          line = lines.readLine()) {
        handler.received(line);
      }
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      if (connection == source) {
        reconnectAfter(failure);
      }
    }
  }

  /**
   * Reconnects at once, because the runtime continues to work meanwhile. After a connection that
   * was never ready, reconnects with a delay to avoid a busy loop.
   */
  private void reconnectAfter(Failure failure) {
    log.warn("connection to the runtime ended: " + failure.message());
    boolean wasReady = ready;
    connection = null;
    ready = false;
    handler.lost();
    if (successor != null) {
      use(successor);
      return;
    }
    loop.schedule(
        wasReady ? 0 : RECONNECT_DELAY_US,
        () -> {
          if (connection == null) {
            connect();
          }
        });
  }
}
