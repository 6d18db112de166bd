package rosecleat.front.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.core.RequestHandle;
import rosecleat.core.Response;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;
import rosecleat.net.TextSyntax;

/**
 * The platform's front: balancers' RESP2 connections, turned into requests to the core and back.
 */
public final class RespFrontend {
  private static final int LONGEST_STRING = 4 << 10;
  private static final int MOST_OPEN = 32;

  /**
   * What a connection reads at once (bytes), and the part of the heap that all these buffers may
   * take together.
   */
  private static final int LEAST_READ = 1 << 10;

  private static final int MOST_READ = 8 << 10;
  private static final int HEAP_PART = 8;

  /** A balancer that was told to close and has nothing open is given so long (us). */
  private static final long BYE_US = 1_000_000;

  /**
   * A connection that has brought no good request is closed when a whole message takes so long
   * (us).
   */
  private static final long PATIENCE_US = 2_200_000;

  /** One that has is an honest sender, if a slow one. */
  private static final long HONEST_US = 10_000_000;

  /**
   * Mistakes in a row after which a connection is asked to close; a balancer that knows a class too
   * few still sends others.
   */
  private static final int MOST_ERRORS = 64;

  /** After so many nothing more is heard on it. */
  private static final int DEAF_ERRORS = 2 * MOST_ERRORS;

  private final Core core;
  private final Counters counters;
  private final LongSupplier clock;
  private final Log log;
  private Fields fields;
  private final EventLoop loop;
  private final InetSocketAddress at;
  private Listener listener;
  private int most;
  private final Set<Peer> peers = new LinkedHashSet<>();

  /**
   * A front that {@link #listen} opens, where it is told an address; at most {@code most}
   * connections are open at a time.
   */
  public RespFrontend(
      EventLoop loop,
      InetSocketAddress at,
      int most,
      Core core,
      RequestCatalog catalog,
      LongSupplier clock,
      Log log) {
    this.loop = loop;
    this.at = at;
    this.most = most;
    this.core = core;
    this.clock = clock;
    this.log = log;
    counters = core.counters();
    reconfigure(catalog);
  }

  /** Listens for balancers from now on, beside any other process of this node that does. */
  public void listen() throws IOException {
    if (listener == null && at != null) {
      listener =
          new Listener(
              loop, at, most, limits(Runtime.getRuntime().maxMemory(), most), this::adopt, true);
    }
  }

  /**
   * The bounds of each connection where so many may be open in a heap of so many bytes. Guards a
   * small node with many descriptors: its read buffers alone could fill the heap. All that 32 open
   * requests can be answered with fits the queue.
   */
  static Connection.Limits limits(long heapBytes, int most) {
    long read =
        Math.max(LEAST_READ, Math.min(MOST_READ, heapBytes / HEAP_PART / Math.max(1, most)));
    return new Connection.Limits((int) read, 64 << 10, 256 << 10, 5_000_000);
  }

  /** As many connections may be open from now on. */
  public void setMaxConnections(int fresh) {
    most = fresh;
    if (listener != null) {
      listener.places(fresh);
    }
  }

  /** Requests read from now on may use these names. */
  public void reconfigure(RequestCatalog catalog) {
    fields = new Fields(catalog.classes(), catalog.tenants(), catalog.runner());
  }

  /** The port it listens on. */
  public int port() {
    return listener.port();
  }

  /** Connections that are open. */
  public int openConnections() {
    return peers.size();
  }

  /** Connections in the middle of a message. */
  int connectionsMidMessage() {
    return (int) peers.stream().filter(peer -> peer.parser.begun()).count();
  }

  /**
   * Accepts what waits and then nothing more, once no connection has come for so long; true when
   * none can come.
   */
  public boolean closeListenerWhenQuiet(long quietUs) {
    return listener == null || listener.closeWhenQuiet(quietUs);
  }

  /**
   * Ends every connection in order, as soon as nothing is owed on it; half a message is not waited
   * for.
   */
  public void closeConnections() {
    for (Peer peer : new ArrayList<>(peers)) {
      peer.impatient = true;
      peer.connection.closeGracefully();
    }
  }

  /** Accepts what waits, and then nothing more; true when none can come any more. */
  public boolean closeListenerWhenEmpty() {
    return listener == null || listener.closeWhenEmpty();
  }

  /**
   * Asks balancers to close every connection that has stood idle for its time, or all; then sees to
   * it.
   */
  public void closeIdleConnections(boolean all) {
    long now = clock.getAsLong();
    long idleUs = core.idleTimeoutUs();
    for (Peer peer : new ArrayList<>(peers)) {
      // in the middle of a message a connection is in use, however slowly its bytes come
      if (all || peer.use() != Connection.Use.BUSY && !peer.checks && now - peer.usedUs > idleUs) {
        peer.bye(now);
      }
      peer.closeIfLeft(now);
      peer.closeIfSlow(now);
    }
  }

  private void adopt(Connection connection) {
    Peer peer = new Peer(connection);
    peers.add(peer);
    counters.add("resp.connections");
    connection.start(peer);
  }

  /** One balancer's connection. */
  private final class Peer implements Connection.Owner {
    private final Connection connection;
    private final RespParser parser = new RespParser(LONGEST_STRING);
    private final Tags tags = new Tags();
    private final Map<Long, RequestHandle> open = new HashMap<>();
    private long usedUs = clock.getAsLong();
    private final long bornUs = clock.getAsLong();
    private boolean spoke;
    private boolean honest;
    private long partSinceUs;
    private int errors;
    private boolean checks;
    private long leavingUs;

    /**
     * What comes makes no sense: nothing more is heard, and what was read before is still answered.
     */
    private boolean deaf;

    /** Half a message is not waited for. */
    private boolean impatient;

    Peer(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (deaf) {
        return;
      }
      usedUs = clock.getAsLong();
      try {
        for (List<byte[]> words = parser.next(bytes);
            words != null && !deaf && !connection.isClosed();
            words = parser.next(bytes)) {
          spoke = true;
          partSinceUs = 0;
          message(words);
        }
        partSinceUs = !parser.begun() ? 0 : partSinceUs == 0 ? usedUs : partSinceUs;
      } catch (
          RespParser.Malformed e) { // guards the rest: one stream that makes no sense ends alone
        counters.add("resp.malformed");
        log.warn("a balancer's connection is closed: " + e.getMessage());
        deaf = true;
        shutOut();
      }
    }

    /**
     * Half a message is one that its sender may be about to finish: closing meanwhile would lose
     * it.
     */
    @Override
    public boolean owed() {
      return !open.isEmpty() || parser.begun() && !deaf && !impatient;
    }

    @Override
    public Connection.Use use() {
      return !open.isEmpty() || parser.begun()
          ? Connection.Use.BUSY
          : spoke ? Connection.Use.IDLE : Connection.Use.SILENT;
    }

    @Override
    public void closed(Failure failure, boolean atEnd) {
      peers.remove(this);
      listener.released(connection);
      for (RequestHandle handle : new ArrayList<>(open.values())) {
        handle.cancel(); // nobody is left to hear the answer
      }
      open.clear();
    }

    private void message(List<byte[]> words) {
      String word = words.get(0) == null ? "" : Fields.text(words.get(0));
      String number = words.size() < 2 || words.get(1) == null ? "" : Fields.text(words.get(1));
      long tag = TextSyntax.parseNumber(number, 18);
      if (tag < 1) { // it can't be answered; what is behind it can
        counters.add("resp.malformed");
        log.warn("a balancer's connection is closed: a message with no readable tag");
        shutOut();
        erred();
        return;
      }
      switch (word) {
        case "DO" -> request(tag, words);
        case "UNDO" -> {
          RequestHandle handle = open.remove(tag);
          if (handle != null) {
            counters.add("resp.undo");
            handle.cancel();
          }
        }
        case "PING" -> {
          checks = true;
          counters.add("resp.checks");
          connection.write(RespReplies.health(tag, core.healthy(), core.loadAdvice()));
        }
        default -> failed(tag, "its word is unknown");
      }
    }

    private void request(long tag, List<byte[]> words) {
      checks = false;
      if (!tags.use(tag)) {
        failed(tag, "its tag was used before");
        return;
      }
      if (open.size() >= MOST_OPEN) {
        failed(tag, "too many requests are open on its connection");
        return;
      }
      boolean[] answered = new boolean[1];
      Fields.Outcome read =
          fields.read(
              words,
              answer -> {
                answered[0] = true;
                open.remove(tag);
                reply(tag, answer);
              });
      if (read.wrong() != null) {
        failed(tag, read.wrong());
        return;
      }
      errors = 0;
      honest = true;
      RequestHandle handle = core.submit(read.request());
      if (!answered[0]) {
        open.put(tag, handle);
      }
    }

    private void reply(long tag, Response answer) {
      usedUs = clock.getAsLong();
      connection.write(RespReplies.answer(tag, answer, core.loadAdvice()));
    }

    private void failed(long tag, String why) {
      counters.add("resp.bad");
      log.warn("request " + tag + " of a balancer failed: " + why);
      connection.write(RespReplies.answer(tag, Response.invalidRequest(why), core.loadAdvice()));
      erred();
    }

    /**
     * Guards the balancers: what floods the loop with mistakes is shut out, and one that goes on is
     * heard no more.
     */
    private void erred() {
      if (++errors == MOST_ERRORS) {
        counters.add("resp.errant");
        shutOut();
      }
      deaf |= errors >= DEAF_ERRORS;
    }

    /** Ends the connection in order: what was read well is answered first. */
    private void shutOut() {
      bye(usedUs);
      connection.closeGracefully();
    }

    /**
     * Guards places and memory against peers that say nothing, or never finish what they began to
     * say; but no slow sender is cut off from answers that are owed to it.
     */
    private void closeIfSlow(long now) {
      long patienceUs = honest ? HONEST_US : PATIENCE_US;
      if (open.isEmpty()
          && !impatient
          && !deaf
          && !connection.isClosed()
          && (!spoke && now - bornUs > patienceUs
              || partSinceUs > 0 && now - partSinceUs > patienceUs)) {
        counters.add("resp.slow");
        impatient = true;
        connection.closeGracefully();
      }
    }

    private void bye(long now) {
      if (leavingUs == 0) {
        leavingUs = now;
        counters.add("resp.bye");
        connection.write(RespReplies.bye());
      }
    }

    /** Its balancer was to close it: where it does not, the node does. */
    private void closeIfLeft(long now) {
      if (leavingUs > 0 && now - leavingUs > BYE_US && now - usedUs > BYE_US) {
        connection.closeGracefully();
      }
    }
  }
}
