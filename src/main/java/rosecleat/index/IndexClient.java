package rosecleat.index;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
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
 * Calls to the shared index over a small pool of connections, one call on each at a time. Each
 * outcome is what is proven: a call that was not sent never ran, one whose reply was spoilt or cut
 * off may have.
 */
public final class IndexClient implements DownstreamClient, Line.Keeper {
  private static final long DIAL_US = 1_000_000;

  /** So much after its time a call that got no reply is given up here (us). */
  private static final long LATE_US = 30_000;

  /**
   * The index closes what is idle, at times early, or forgets it and resets it at the next call.
   * From outside that reset is no other than one in place of a reply, so connections are not used
   * again after so short a time (us).
   */
  private static final long STALE_US = 250_000;

  /** Connections at the most until {@link #setMaxConnections} says otherwise. */
  private static final int LINES = 32;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final Log log;
  private final Counters counters;
  private final Map<String, Call> calls = new HashMap<>();
  private final ArrayDeque<Call> waiting = new ArrayDeque<>();

  /** Connections with no call, the last used first. */
  private final ArrayDeque<Line> idle = new ArrayDeque<>();

  private InetSocketAddress address;
  private Core core;
  private int most = LINES;
  private int lines;
  private int dialling;

  /** A client of the index at an address; null where there is none. */
  public IndexClient(
      EventLoop loop, InetSocketAddress address, LongSupplier clock, Counters counters, Log log) {
    this.loop = loop;
    this.address = address;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /** Names who is told the outcomes. */
  public void setCore(Core to) {
    core = to;
  }

  /** The index is elsewhere from now on; calls that are out end where they were made. */
  public void setAddress(InetSocketAddress to) {
    if (!Objects.equals(to, address)) {
      address = to;
      while (!idle.isEmpty()) {
        retire(idle.remove());
      }
    }
  }

  /**
   * So many connections may be open from now on; further calls wait for one. Those over it go as
   * their calls end.
   */
  public void setMaxConnections(int fresh) {
    most = fresh;
    dial();
  }

  @Override
  public void call(String id, long untilUs, byte[] body) {
    Call call = new Call(id, untilUs, body);
    calls.put(id, call);
    if (address == null) {
      loop.execute(() -> over(call, CallResult.UNREACHABLE, null));
      return;
    }
    call.timer = loop.schedule(untilUs + LATE_US - clock.getAsLong(), () -> late(call));
    Line line = unused(id);
    if (line != null) {
      send(line, call);
    } else {
      waiting.add(call);
      dial();
    }
  }

  /**
   * The connection used last, of those that are fresh and have not carried this request; null for
   * none.
   */
  private Line unused(String id) {
    long oldest = clock.getAsLong() - STALE_US;
    while (!idle.isEmpty() && idle.getLast().idleSinceUs() < oldest) {
      retire(idle.removeLast());
    }
    for (Iterator<Line> each = idle.iterator(); each.hasNext(); ) {
      Line line = each.next();
      if (!line.carried(id) && !line.over()) {
        each.remove();
        return line;
      }
    }
    return null;
  }

  /**
   * Guards the proof that a call never ran: one that its connection did not take waits for another.
   */
  private void send(Line line, Call call) {
    if (line.send(call, clock.getAsLong())) {
      call.line = line;
      counters.add("index.calls");
    } else {
      counters.add("index.unsendable");
      waiting.addFirst(call);
      dial();
    }
  }

  @Override
  public void cancel(String id) {
    Call call = calls.remove(id);
    if (call != null) {
      drop(call);
    }
  }

  private void late(Call call) {
    if (calls.remove(call.id, call)) {
      boolean sent = call.line != null;
      counters.add(sent ? "index.late" : "index.unsent");
      drop(call);
      core.callEnded(call.id, sent ? CallResult.TIMED_OUT : CallResult.UNREACHABLE);
    }
  }

  /**
   * Tells the index that nobody waits any more. The connection goes too: its reply may never come,
   * or come late.
   */
  private void drop(Call call) {
    stopTimer(call);
    waiting.remove(call);
    if (call.line != null) {
      counters.add("index.stops");
      retire(call.line);
    }
  }

  private void retire(Line line) {
    lines--;
    line.cancel();
    dial();
  }

  private static void stopTimer(Call call) {
    if (call.timer != null) {
      call.timer.cancel(false);
    }
  }

  private void over(Call call, CallResult end, byte[] reply) {
    if (calls.remove(call.id, call)) {
      stopTimer(call);
      waiting.remove(call);
      core.callEnded(call.id, end, reply);
    }
  }

  // ---- connections

  /** Opens connections for the calls that wait, as far as there may be more. */
  private void dial() {
    while (address != null && dialling < waiting.size() && lines + dialling < most) {
      dialling++;
      InetSocketAddress to = address;
      Connection.connect(
          loop,
          to,
          DIAL_US,
          ConnectionLimits.SMALL,
          new ConnectHandler() {
            @Override
            public void connected(Connection fresh) {
              dialling--;
              counters.add("index.connections");
              lines++;
              Line line = new Line(fresh, to, IndexClient.this);
              fresh.start(line);
              free(line);
            }

            @Override
            public void failed(Failure failure) {
              dialling--;
              unreached(to, failure);
            }
          });
    }
  }

  /**
   * A refused connection proves that the call it was opened for never ran; where the index has
   * moved, it is opened there.
   */
  private void unreached(InetSocketAddress to, Failure failure) {
    if (to.equals(address) && !waiting.isEmpty()) {
      log.warn("the index is not reached: " + failure.message());
      over(waiting.peek(), CallResult.UNREACHABLE, null);
    }
    dial();
  }

  /** A connection can take a call: the one that has waited longest, if it may. */
  private void free(Line line) {
    if (line.over() || !line.to().equals(address) || lines > most) {
      retire(line);
      return;
    }
    for (Iterator<Call> each = waiting.iterator(); each.hasNext(); ) {
      Call call = each.next();
      if (!line.carried(call.id)) {
        each.remove();
        send(line, call);
        return;
      }
    }
    line.idle(clock.getAsLong());
    idle.addFirst(line);
  }

  @Override
  public void replied(Line line, Call call, CallResult end, byte[] body) {
    counters.add("index.replies");
    free(line);
    over(call, end, body);
  }

  @Override
  public void lost(Line line, Call call, CallResult end, String why) {
    lines--;
    idle.remove(line);
    if (call != null) {
      counters.add("index.lost");
      log.warn("a call got no reply: " + why);
      over(call, end, null);
    }
    dial();
  }
}
