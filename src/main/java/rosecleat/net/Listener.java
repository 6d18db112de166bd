package rosecleat.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import rosecleat.log.Log;

/**
 * A listening socket whose accept is always re-armed: at once after a success, a little later after
 * a failure.
 */
public final class Listener {
  private static final int BACKLOG = 1024;
  private static final long RETRY_US = 20_000;

  /** A call to accept that has stood for so long found nothing waiting. */
  private static final long ARMED_NS = 5_000_000;

  /** So often it is looked again for a place, while none can be had (us). */
  private static final long ROOM_US = 20_000;

  /**
   * Of all places, one in so many may be made free at once, where they are taken again as fast as
   * they come free.
   */
  private static final int MOST_PART = 4;

  /** Places that were needed so long ago say nothing of how many are needed now. */
  private static final long NEED_NS = 1_000_000_000;

  private final EventLoop loop;
  private final AsynchronousServerSocketChannel server;
  private final Connection.Limits limits;
  private final Consumer<Connection> taker;
  private final Log log;
  private int most;
  private final Set<Connection> open = new LinkedHashSet<>();
  private boolean waiting;
  private boolean lookingForRoom;
  private int needed = 1;
  private long neededNs = System.nanoTime() - NEED_NS;
  private boolean ending;
  private boolean closed;
  private volatile boolean come;
  private long armedNs;
  private long lastNs = System.nanoTime();

  /**
   * Listens at an address; each connection is handed over on the loop. At {@code most} open it
   * makes room by closing what is of no use, and accepts no more where nothing is.
   */
  public Listener(
      EventLoop loop,
      InetSocketAddress at,
      int most,
      Connection.Limits limits,
      Consumer<Connection> taker)
      throws IOException {
    this(loop, at, most, limits, taker, false);
  }

  /**
   * The same; where {@code shared}, another process may listen at the address too, and takes some
   * of what comes.
   */
  public Listener(
      EventLoop loop,
      InetSocketAddress at,
      int most,
      Connection.Limits limits,
      Consumer<Connection> taker,
      boolean shared)
      throws IOException {
    this.loop = loop;
    this.limits = limits;
    this.taker = taker;
    this.most = most;
    log = loop.log();
    server = AsynchronousServerSocketChannel.open(loop.group());
    try {
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      if (shared) {
        server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
      }
      server.bind(at, BACKLOG);
    } catch (IOException | RuntimeException e) {
      Connection.closeQuietly(server);
      throw e;
    }
    loop.execute(this::accept);
  }

  /** The port it listens on. */
  public int port() {
    try {
      return ((InetSocketAddress) server.getLocalAddress()).getPort();
    } catch (IOException e) {
      return -1;
    }
  }

  /** A connection taken here has ended: its place is free again. */
  public void released(Connection ended) {
    open.remove(ended);
    resume();
  }

  /** As many connections may be open from now on; those over it that are of use stay. */
  public void places(int fresh) {
    most = fresh;
    resume();
  }

  private void resume() {
    if (waiting && open.size() < most) {
      waiting = false;
      accept();
    }
  }

  /**
   * Goes on accepting until nothing waits unaccepted, and closes at that instant: what waits at a
   * socket that closes is reset, while others that listen at its address take all that comes later.
   * True once it is closed.
   */
  public boolean closeWhenEmpty() {
    ending = true;
    if (!closed && !waiting && !come && System.nanoTime() - armedNs > ARMED_NS) {
      shut(); // a call to accept that has stood for a while: nothing waits
    }
    return closed;
  }

  private void shut() {
    closed = true;
    Connection.closeQuietly(server);
  }

  /**
   * The same, begun only once no connection has come for so long. Guards connections that the
   * system has accepted and this program has not taken yet: closing the socket would reset them,
   * with what they bring.
   */
  public boolean closeWhenQuiet(long quietUs) {
    return (closed || ending || (System.nanoTime() - lastNs) / 1_000 >= quietUs)
        && closeWhenEmpty();
  }

  private void accept() {
    if (closed) {
      return;
    }
    if (open.size() >= most) { // guards the limit on descriptors: the rest wait unaccepted
      waiting = true;
      long now = System.nanoTime();
      needed = now - neededNs < NEED_NS ? Math.min(1 + most / MOST_PART, 2 * needed) : 1;
      neededNs = now;
      if (!makeRoom()) {
        log.warn(open.size() + " connections are open and in use, no more are accepted");
      }
      lookAgain();
      return;
    }
    if (ending) {
      acceptRest();
      return;
    }
    armedNs = System.nanoTime();
    try {
      server.accept(
          null,
          new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel channel, Void none) {
              come = true;
              loop.execute(
                  () -> {
                    come = false;
                    accepted(channel);
                  });
            }

            @Override
            public void failed(Throwable e, Void none) {
              loop.execute(() -> refused(e));
            }
          });
    } catch (RuntimeException e) {
      refused(e);
    }
  }

  /** Takes all that waits, and closes in the instant in which nothing does. */
  private void acceptRest() {
    try {
      while (open.size() < most) {
        Future<AsynchronousSocketChannel> next = server.accept();
        boolean empty = !next.isDone();
        if (empty) {
          shut();
        }
        if (next.isDone()) {
          take(next.get());
        }
        if (empty) {
          return;
        }
      }
      waiting = true;
    } catch (ExecutionException | RuntimeException e) {
      shut();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * While no place can be had, it is looked again for one: connections fall idle, and some never
   * close in their turn.
   */
  private void lookAgain() {
    if (!lookingForRoom) {
      lookingForRoom = true;
      loop.schedule(
          ROOM_US,
          () -> {
            lookingForRoom = false;
            if (waiting && !closed) {
              makeRoom();
              lookAgain();
            }
          });
    }
  }

  /**
   * Guards callers against being shut out by connections that nobody uses: closes those with
   * nothing open on them, first the silent ones, then the longest unused; one, or more where places
   * are taken as fast as they come free. A silent one that is young may be about to speak, and
   * stays. Those used just now are told the end in order, and their places are free once they have
   * ended, or a little later. True where a place will be free.
   */
  private boolean makeRoom() {
    long now = System.nanoTime();
    int ending = 0;
    List<Connection> unused = new ArrayList<>();
    Set<Connection> mute = new HashSet<>();
    for (Connection each : List.copyOf(open)) {
      if (each.isClosed()) {
        ending++;
        letGo(each);
        continue;
      }
      Connection.Use use = each.use();
      if (use == Connection.Use.SILENT && now - each.touchedNs() > Connection.CROSSING_NS) {
        mute.add(each);
        unused.add(each);
      } else if (use == Connection.Use.IDLE) {
        unused.add(each);
      }
    }
    unused.sort(
        Comparator.<Connection, Boolean>comparing(each -> !mute.contains(each))
            .thenComparingLong(Connection::touchedNs));
    List<Connection> go = unused.subList(0, Math.max(0, Math.min(unused.size(), needed - ending)));
    for (Connection each : go) {
      each.closeGracefully();
      letGo(each);
    }
    return ending > 0 || !go.isEmpty();
  }

  private static void letGo(Connection each) {
    if (each.lingers()) {
      each.abort("its place is needed");
    }
  }

  private void accepted(AsynchronousSocketChannel channel) {
    take(channel);
    accept();
  }

  private void take(AsynchronousSocketChannel channel) {
    lastNs = System.nanoTime();
    Connection connection = new Connection(loop, channel, limits);
    open.add(connection);
    try {
      taker.accept(connection);
    } catch (RuntimeException e) {
      log.warn("a connection could not be taken: " + e);
      Connection.closeQuietly(channel);
      open.remove(connection);
    }
  }

  /**
   * Guards against running out of descriptors: a failed accept is tried again, it never ends the
   * listening.
   */
  private void refused(Throwable e) {
    if (!closed) {
      log.warn("accept failed: " + e.getMessage());
      loop.schedule(RETRY_US, this::accept);
    }
  }
}
