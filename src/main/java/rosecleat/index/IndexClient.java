package rosecleat.index;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.core.CallResult;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.DownstreamClient;
import rosecleat.core.Failure;
import rosecleat.log.Log;
import rosecleat.net.ConnectHandler;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;

/**
 * Calls the shared index over a small pool of connections, with one call at a time on each. The
 * result of a call states only what is proven: a call that was not sent never ran; a call whose
 * reply was malformed or truncated may have run. Used on the event loop only.
 */
public final class IndexClient implements DownstreamClient, IndexConnection.Listener {
  private static final long CONNECT_TIMEOUT_US = 1_000_000;

  /** Time after its deadline at which a call without a reply times out in this process (us). */
  private static final long DEADLINE_MARGIN_US = 30_000;

  /**
   * Connections idle for longer than this are not reused (us). The index closes idle connections,
   * sometimes early, or discards their state and resets them at the next call; such a reset cannot
   * be distinguished from one sent in place of a reply.
   */
  private static final long MAX_IDLE_US = 250_000;

  /** Maximum number of connections until {@link #setMaxConnections} is called. */
  private static final int DEFAULT_MAX_CONNECTIONS = 32;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final Log log;
  private final Counters counters;
  private final Map<String, PendingCall> calls = new HashMap<>();

  /** Calls that have not been sent, oldest first. */
  private final ArrayDeque<PendingCall> waiting = new ArrayDeque<>();

  /** Connections without a call, most recently used first. */
  private final ArrayDeque<IndexConnection> idle = new ArrayDeque<>();

  /** The index's address; null if there is no index. */
  private InetSocketAddress address;

  private Core core;
  private int maxConnections = DEFAULT_MAX_CONNECTIONS;
  private int openConnections;
  private int connecting;

  /** Creates a client of the index at an address; null if there is no index. */
  public IndexClient(
      EventLoop loop, InetSocketAddress address, LongSupplier clock, Counters counters, Log log) {
    this.loop = loop;
    this.address = address;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /** Sets the core that receives results; must be called before the first call. */
  public void setCore(Core newCore) {
    core = newCore;
  }

  /**
   * Changes the index's address, null if there is none. Calls that have been sent finish on their
   * connections to the former address.
   */
  public void setAddress(InetSocketAddress newAddress) {
    if (Objects.equals(newAddress, address)) {
      return;
    }
    address = newAddress;
    while (!idle.isEmpty()) {
      discard(idle.remove());
    }
  }

  /**
   * Sets the maximum number of connections; calls beyond it wait for a connection. If the maximum
   * is lowered, excess connections are closed when their calls end.
   */
  public void setMaxConnections(int newMaximum) {
    maxConnections = newMaximum;
    openForWaitingCalls();
  }

  @Override
  public void call(String id, long untilUs, byte[] body) {
    PendingCall call = new PendingCall(id, untilUs, body);
    calls.put(id, call);
    if (address == null) {
      loop.execute(() -> complete(call, CallResult.UNREACHABLE));
      return;
    }
    long timeoutUs = untilUs + DEADLINE_MARGIN_US - clock.getAsLong();
    call.setTimeout(loop.schedule(timeoutUs, () -> timeOut(call)));
    Optional<IndexConnection> connection = takeIdle(id);
    if (connection.isPresent()) {
      send(connection.get(), call);
    } else {
      waiting.add(call);
      openForWaitingCalls();
    }
  }

  /**
   * Takes the most recently used idle connection that was not idle for too long and has not carried
   * a call of this request; returns empty if there is none.
   */
  private Optional<IndexConnection> takeIdle(String id) {
    long oldestUs = clock.getAsLong() - MAX_IDLE_US;
    while (!idle.isEmpty() && idle.getLast().idleSinceUs() < oldestUs) {
      discard(idle.removeLast());
    }
    for (Iterator<IndexConnection> each = idle.iterator(); each.hasNext(); ) {
      IndexConnection connection = each.next();
      if (!connection.carried(id) && !connection.exhausted()) {
        each.remove();
        return Optional.of(connection);
      }
    }
    return Optional.empty();
  }

  /**
   * Sends a call. A call that its connection did not accept never ran, and waits for another
   * connection.
   */
  private void send(IndexConnection connection, PendingCall call) {
    if (connection.send(call, clock.getAsLong())) {
      call.sentOn(connection);
      counters.add("index.calls");
    } else {
      counters.add("index.unsendable");
      waiting.addFirst(call);
      openForWaitingCalls();
    }
  }

  @Override
  public void cancel(String id) {
    PendingCall call = calls.remove(id);
    if (call != null) {
      abandon(call);
    }
  }

  private void timeOut(PendingCall call) {
    if (!calls.remove(call.id(), call)) {
      return;
    }
    boolean sent = call.sent();
    counters.add(sent ? "index.late" : "index.unsent");
    abandon(call);
    core.callEnded(call.id(), sent ? CallResult.TIMED_OUT : CallResult.UNREACHABLE);
  }

  /**
   * Cancels a call at the index and closes its connection, because the reply may never arrive or
   * arrive late.
   */
  private void abandon(PendingCall call) {
    call.cancelTimeout();
    waiting.remove(call);
    if (call.sent()) {
      counters.add("index.stops");
      discard(call.connection());
    }
  }

  private void discard(IndexConnection connection) {
    openConnections--;
    connection.cancel();
    openForWaitingCalls();
  }

  private void complete(PendingCall call, CallResult result) {
    if (remove(call)) {
      core.callEnded(call.id(), result);
    }
  }

  /**
   * Removes a call that is about to end with a result; returns false if it has ended or was
   * cancelled before.
   */
  private boolean remove(PendingCall call) {
    if (!calls.remove(call.id(), call)) {
      return false;
    }
    call.cancelTimeout();
    waiting.remove(call);
    return true;
  }

  /** Opens connections for the waiting calls, up to the maximum. */
  private void openForWaitingCalls() {
    while (address != null
        && connecting < waiting.size()
        && openConnections + connecting < maxConnections) {
      connecting++;
      open(address);
    }
  }

  private void open(InetSocketAddress target) {
    Connection.connect(
        loop,
        target,
        CONNECT_TIMEOUT_US,
        ConnectionLimits.SMALL,
        new ConnectHandler() {
          @Override
          public void connected(Connection established) {
            connecting--;
            use(established, target);
          }

          @Override
          public void failed(Failure failure) {
            connecting--;
            connectFailed(target, failure);
          }
        });
  }

  private void use(Connection established, InetSocketAddress target) {
    counters.add("index.connections");
    openConnections++;
    IndexConnection connection = new IndexConnection(established, target, this);
    established.start(connection);
    sendNextOrIdle(connection);
  }

  /**
   * Ends the oldest waiting call as unreachable: a failed connect proves that it never ran. If the
   * address has changed since the attempt began, the call is tried at the new address instead.
   */
  private void connectFailed(InetSocketAddress target, Failure failure) {
    if (target.equals(address) && !waiting.isEmpty()) {
      log.warn("could not connect to the index: " + failure.message());
      complete(waiting.peek(), CallResult.UNREACHABLE);
    }
    openForWaitingCalls();
  }

  /**
   * Sends the oldest waiting call that a free connection may carry, or else marks the connection
   * idle.
   */
  private void sendNextOrIdle(IndexConnection connection) {
    if (connection.exhausted()
        || !connection.address().equals(address)
        || openConnections > maxConnections) {
      discard(connection);
      return;
    }
    for (Iterator<PendingCall> each = waiting.iterator(); each.hasNext(); ) {
      PendingCall call = each.next();
      if (!connection.carried(call.id())) {
        each.remove();
        send(connection, call);
        return;
      }
    }
    connection.setIdleSince(clock.getAsLong());
    idle.addFirst(connection);
  }

  @Override
  public void replied(
      IndexConnection connection, PendingCall call, CallResult result, byte[] body) {
    counters.add("index.replies");
    sendNextOrIdle(connection);
    if (remove(call)) {
      core.callEnded(call.id(), result, body);
    }
  }

  @Override
  public void lost(
      IndexConnection connection, Optional<PendingCall> call, CallResult result, String reason) {
    openConnections--;
    idle.remove(connection);
    if (call.isPresent()) {
      counters.add("index.lost");
      log.warn("index call ended without a valid reply: " + reason);
      complete(call.get(), result);
    }
    openForWaitingCalls();
  }
}
