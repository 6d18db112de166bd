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
 * Keeps one connection to the runtime: connects, connects again whenever the connection is lost,
 * and moves to a new address. On a move the former connection is used up in order: it is replaced
 * once it has proven which commands arrived by it, or after {@link #ACKNOWLEDGEMENT_TIMEOUT_US}.
 * For the loop alone.
 */
final class RuntimeLink {
  private static final long CONNECT_TIMEOUT_US = 2_000_000;
  private static final long RECONNECT_DELAY_US = 100_000;
  private static final int MAX_LINE_BYTES = 1 << 20;

  /** After this time without a proof, a move goes on without it. */
  private static final long ACKNOWLEDGEMENT_TIMEOUT_US = 500_000;

  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(16 << 10, 1 << 20, 4 << 20, 10_000_000);

  /** Receives what happens on the link, on the loop. */
  interface Handler {
    /** A new connection is in use, with nothing written to it. */
    void connected();

    /** A line has arrived on the connection in use. */
    void received(String line);

    /** The connection in use has ended or is replaced: what was written to it may be lost. */
    void lost();

    /** Whether it is unknown which of the commands written to the connection in use arrived. */
    boolean needsAcknowledgement();

    /** Asks for the proof on the connection in use. */
    void requestAcknowledgement();
  }

  private final EventLoop loop;
  private final Counters counters;
  private final Log log;
  private final Handler handler;
  private final Connector connector;

  /** The connection in use; null while there is none. */
  private Connection connection;

  /** The connection to a new address that waits for the proof; null while none does. */
  private Connection successor;

  /** Whether the runtime has answered on the connection in use, which takes commands. */
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

  /** Writes a line; false, with no byte sent, where no connection takes it. */
  boolean write(String line) {
    return connection != null
        && connection.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.ISO_8859_1)));
  }

  /** Records that the runtime has answered on the connection in use. */
  void markReady() {
    ready = successor == null;
  }

  /** Returns whether commands may be written. */
  boolean isReady() {
    return ready;
  }

  /** Aborts the connection in use, which is made again. */
  void abort(String reason) {
    connection.abort(reason);
  }

  /** Goes on with a move that waits for the proof, where it has come. */
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
      previous.closeGracefully(); // what it still brings comes again on the new one
    }
    established.start(new MessageReader(established));
    handler.connected();
  }

  /** Reads the messages of one connection for as long as it is the one in use. */
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
   * Reconnects at once, as the runtime goes on meanwhile; a connection that was never ready must
   * not be made again in a busy loop.
   */
  private void reconnectAfter(Failure failure) {
    log.warn("the link to the runtime ended: " + failure.message());
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
