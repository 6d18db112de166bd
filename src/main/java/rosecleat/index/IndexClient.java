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
 * Calls the shared index over a small pool of connections, one call on each at a time. Each result
 * states what is proven: a call that was not sent never ran, one whose reply was malformed or cut
 * off may have. For the loop alone.
 */
public final class IndexClient implements DownstreamClient, IndexConnection.Listener {
  private static final long CONNECT_TIMEOUT_US = 1_000_000;

  /** How long after its deadline a call without a reply is given up here (us). */
  private static final long DEADLINE_MARGIN_US = 30_000;

  /**
   * Connections that were idle for longer are not used again (us). The index closes idle
   * connections, at times early, or forgets them and resets them at the next call; and that reset
   * can't be told from one that takes the place of a reply.
   */
  private static final long MAX_IDLE_US = 250_000;

  /** The most connections until {@link #setMaxConnections} says otherwise. */
  private static final int DEFAULT_MAX_CONNECTIONS = 32;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final Log log;
  private final Counters counters;
  private final Map<String, PendingCall> calls = new HashMap<>();

  /** Calls that were not sent, the oldest first. */
  private final ArrayDeque<PendingCall> waiting = new ArrayDeque<>();

  /** Connections without a call, the last used first. */
  private final ArrayDeque<IndexConnection> idle = new ArrayDeque<>();

  /** Null where there is no index. */
  private InetSocketAddress address;

  private Core core;
  private int maxConnections = DEFAULT_MAX_CONNECTIONS;
  private int openConnections;
  private int connecting;

  /** Creates a client of the index at an address; null where there is none. */
  public IndexClient(
      EventLoop loop, InetSocketAddress address, LongSupplier clock, Counters counters, Log log) {
    this.loop = loop;
    this.address = address;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /** Sets the core to which results are reported; to be called before the first call. */
  public void setCore(Core newCore) {
    core = newCore;
  }

  /** Changes the index's address, null for none; calls that were sent end where they are. */
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
   * Sets the most connections; further calls wait for one. Those beyond a lower maximum are closed
   * as their calls end.
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
   * Takes the connection used last, of those that were not idle for too long and have not carried
   * this request; empty for none.
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

  /** Sends a call; one that its connection did not take never ran, and waits for another. */
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
   * Cancels a call at the index. Its connection goes too: the reply may never come, or come late.
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

  /** Removes a call that gets its result; false where it has had one or was cancelled. */
  private boolean remove(PendingCall call) {
    if (!calls.remove(call.id(), call)) {
      return false;
    }
    call.cancelTimeout();
    waiting.remove(call);
    return true;
  }

  /** Opens connections for the calls that wait, up to the maximum. */
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
   * Ends the oldest waiting call: a failed connect proves that it never ran. Where the address has
   * changed meanwhile, the call is tried there.
   */
  private void connectFailed(InetSocketAddress target, Failure failure) {
    if (target.equals(address) && !waiting.isEmpty()) {
      log.warn("the index is not reached: " + failure.message());
      complete(waiting.peek(), CallResult.UNREACHABLE);
    }
    openForWaitingCalls();
  }

  /** Gives a free connection the oldest waiting call that it may carry. */
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
      log.warn("a call got no reply: " + reason);
      complete(call.get(), result);
    }
    openForWaitingCalls();
  }
}
