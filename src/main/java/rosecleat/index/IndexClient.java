package rosecleat.index;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Fault;
import rosecleat.core.Ledger;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.EventLoop;
import rosecleat.net.LineBuffer;
import rosecleat.net.Words;

/** Calls to the shared index over one connection, opened when needed. Each outcome is what is proven. */
public final class IndexClient implements Ledger {
  private static final long DIAL_US = 1_000_000;
  /** So much after its time a call that got no reply is given up here (us). */
  private static final long LATE_US = 30_000;
  /** The index closes what is idle for 10 s; a call that crosses that would prove nothing, so not so late (us). */
  private static final long STALE_US = 8_000_000;
  private static final int LONGEST = 1 << 20;
  private static final int MOST_GIVEN = 1_000;

  /** One call that is out. {@code via} is the connection it was written to, null while it was not. */
  private static final class Call {
    final long untilUs;
    final byte[] body;
    Connection via;
    Future<?> timer;

    Call(long untilUs, byte[] body) {
      this.untilUs = untilUs;
      this.body = body;
    }
  }

  private final EventLoop loop;
  private final LongSupplier clock;
  private final Log log;
  private final Counters counters;
  private final Map<String, Call> calls = new HashMap<>();
  /** Given up on this connection, the latest of them: a reply may still come. */
  private final Set<String> given = new LinkedHashSet<>();
  private InetSocketAddress address;
  private Core core;
  private Connection connection;
  private boolean dialling;
  private long usedUs;

  /** A client of the index at an address; null where there is none. */
  public IndexClient(EventLoop loop, InetSocketAddress address, LongSupplier clock, Counters counters, Log log) {
    this.loop = loop;
    this.address = address;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /** Names who is told the outcomes. */
  public void tell(Core to) {
    core = to;
  }

  /** The index is elsewhere from now on; calls that are out end where they were made. */
  public void moveTo(InetSocketAddress to) {
    if (!Objects.equals(to, address)) {
      address = to;
      connection = null;
    }
  }

  @Override public void call(String id, long untilUs, byte[] body) {
    Call call = new Call(untilUs, body);
    calls.put(id, call);
    if (address == null || given.contains(id)) {
      // guards against taking the reply to a call that was given up for the reply to this one
      loop.execute(() -> over(id, call, End.UNREACHED, null));
      return;
    }
    call.timer = loop.after(untilUs + LATE_US - clock.getAsLong(), () -> late(id, call));
    if (connection != null && calls.size() == 1 && clock.getAsLong() - usedUs > STALE_US) {
      connection.close("idle");
      connection = null;
    }
    if (connection != null && !connection.isClosed()) {
      send(id, call);
    } else if (!dialling) {
      dial();
    }
  }

  @Override public void giveUp(String id) {
    Call call = calls.remove(id);
    if (call != null) {
      forget(id, call);
    }
  }

  private void late(String id, Call call) {
    if (calls.remove(id, call)) {
      forget(id, call);
      core.called(id, call.via != null ? End.SLOW : End.UNREACHED, null);
    }
  }

  /** Tells the index that nobody waits for a call any more. */
  private void forget(String id, Call call) {
    cancel(call);
    if (call.via != null && call.via == connection && !connection.isClosed()) {
      given.add(id);
      if (given.size() > MOST_GIVEN) {
        given.remove(given.iterator().next());
      }
      counters.add("index.stops");
      write("STOP " + id + "\r\n", null);
    }
  }

  private static void cancel(Call call) {
    if (call.timer != null) {
      call.timer.cancel(false);
    }
  }

  private void over(String id, Call call, End end, byte[] reply) {
    if (calls.remove(id, call)) {
      cancel(call);
      core.called(id, end, reply);
    }
  }

  private void dial() {
    dialling = true;
    InetSocketAddress to = address;
    Connection.dial(loop, to, DIAL_US, Connection.Limits.SMALL, new Connection.Dialled() {
      @Override public void connected(Connection fresh) {
        dialling = false;
        if (!to.equals(address) && address != null) { // it has moved meanwhile
          fresh.close("the index has moved");
          dial();
          return;
        }
        adopt(fresh);
      }

      @Override public void failed(Fault fault) {
        dialling = false;
        if (!to.equals(address) && address != null) {
          dial();
          return;
        }
        log.warn("the index is not reached: " + fault.why());
        each(null, End.UNREACHED);
      }
    });
  }

  private void adopt(Connection fresh) {
    connection = fresh;
    given.clear();
    Replies replies = new Replies();
    fresh.start(new Connection.Owner() {
      @Override public void received(ByteBuffer bytes) {
        if (!replies.take(bytes)) {
          fresh.close("the index sent what is no reply");
        }
      }

      @Override public void closed(Fault fault, boolean atEnd) {
        if (connection == fresh) {
          connection = null;
        }
        each(fresh, End.CUT); // they were sent: nothing proves what became of them
      }
    });
    calls.forEach((id, call) -> {
      if (call.via == null) {
        send(id, call);
      }
    });
  }

  /** Ends all calls that were written to a connection, or (null) to none. */
  private void each(Connection via, End end) {
    for (Map.Entry<String, Call> entry : new ArrayList<>(calls.entrySet())) {
      if (entry.getValue().via == via) {
        over(entry.getKey(), entry.getValue(), end, null);
      }
    }
  }

  private void send(String id, Call call) {
    call.via = connection;
    usedUs = clock.getAsLong();
    counters.add("index.calls");
    long leftMs = Math.max(1, (call.untilUs - clock.getAsLong()) / 1000);
    write("GET " + id + " " + leftMs + " " + call.body.length + "\r\n", call.body);
  }

  private void write(String line, byte[] body) {
    byte[] head = line.getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer out = ByteBuffer.allocate(head.length + (body == null ? 0 : body.length + 2)).put(head);
    if (body != null) {
      out.put(body).put((byte) '\r').put((byte) '\n');
    }
    connection.write(out.flip());
  }

  /** The replies of one connection. */
  private final class Replies {
    private final LineBuffer lines = new LineBuffer(LONGEST);
    private String id;
    private int length = -1;

    /** Takes bytes; false where they are no replies. */
    boolean take(ByteBuffer bytes) {
      if (!lines.add(bytes)) {
        return false;
      }
      while (true) {
        if (length >= 0) {
          byte[] body = lines.block(length + 2);
          if (body == null) {
            return true;
          }
          length = -1;
          reply(id, End.HIT, java.util.Arrays.copyOf(body, body.length - 2));
          continue;
        }
        String line = lines.line();
        if (line == null) {
          return !lines.tooLong();
        }
        if (!head(line.split(" "))) {
          log.warn("the index sent: " + line);
          return false;
        }
      }
    }

    private boolean head(String[] words) {
      if (words.length < 2) {
        return false;
      }
      id = words[0];
      switch (words[1]) {
        case "HIT" -> {
          length = words.length < 3 ? -1 : (int) Words.number(words[2], 7);
          return length >= 0 && length <= LONGEST;
        }
        case "SHED" -> reply(id, End.SHED, null);
        case "NOBODY" -> reply(id, End.UNREACHED, null);
        case "BROKEN" -> reply(id, End.BROKEN, null);
        case "SLOW" -> reply(id, End.SLOW, null);
        default -> {
          return false;
        }
      }
      return true;
    }

    private void reply(String to, End end, byte[] body) {
      Call call = calls.get(to);
      if (call != null && call.via != null) {
        over(to, call, end, body);
      }
    }
  }
}
