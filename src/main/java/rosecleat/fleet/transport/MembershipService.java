package rosecleat.fleet.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rosecleat.fleet.Effect;
import rosecleat.fleet.Endpoint;
import rosecleat.fleet.ExchangeSession;
import rosecleat.fleet.FleetRecord;
import rosecleat.fleet.LocalNode;
import rosecleat.fleet.MemberId;
import rosecleat.fleet.MembershipProtocol;
import rosecleat.fleet.MembershipView;
import rosecleat.fleet.Tuning;
import rosecleat.log.Log;

/**
 * One thread that owns the fleet's sockets and its state; others leave it messages, in a mailbox
 * that is bounded. Its clock counts from the process's start and never goes back, whatever the time
 * of day does.
 */
public final class MembershipService implements AutoCloseable {
  /** Exchanges of what is held; of a further kind by its number. */
  public static final int MEMBERS = 1;

  private static final int MAILBOX = 4_096;
  private static final int MOST_IN = 16;
  private static final int MOST_OUT = 4;
  private static final int MOST_DATAGRAMS = 512;

  /** An exchange may take so long without a byte, and so long in all (us). */
  private static final long STALL_US = 3_000_000;

  private static final long LONGEST_US = 60_000_000;
  private static final long REBIND_US = 500_000;
  private static final long LOOK_US = 50_000;
  private static final int TRIES = 16;

  /** Bytes in datagrams that may leave in a second, however much there is to say. */
  private static final long BYTES_PER_S = 8 << 20;

  /** What a process tells its fleet of itself. */
  public record Settings(
      String name,
      String cluster,
      InetSocketAddress listen,
      InetSocketAddress advertise,
      String zone,
      List<InetSocketAddress> seeds,
      long periodUs) {}

  /** Who hears of news, on the task's own thread; must not wait. */
  public interface Listener {
    /** The view has changed. */
    void viewChanged(MembershipView view);

    /** A record has come or (null payload) aged out. */
    void recordChanged(FleetRecord record);

    /** One more of something. */
    void counterIncreased(String counter, long increment);
  }

  private final class Conversation {
    final SocketChannel channel;
    final FrameChannel frames;
    final boolean opened;
    final long endUs;
    final int kind;
    ExchangeSession dialogue;
    long movedUs;

    Conversation(SocketChannel channel, int kind, ExchangeSession dialogue, long nowUs) {
      this.channel = channel;
      this.kind = kind;
      this.dialogue = dialogue;
      frames = new FrameChannel(channel);
      opened = dialogue != null;
      movedUs = nowUs;
      endUs = nowUs + LONGEST_US;
    }
  }

  private final Settings settings;
  private final Listener hearer;
  private final Log log;
  private final ArrayBlockingQueue<Consumer<MembershipProtocol>> mailbox =
      new ArrayBlockingQueue<>(MAILBOX);
  private final Map<Integer, Supplier<ExchangeSession>> answers = new HashMap<>();
  private final Map<SelectionKey, Conversation> conversations = new HashMap<>();
  private final Map<String, Long> counts = new TreeMap<>();
  private final ByteBuffer packet = ByteBuffer.allocateDirect(64 << 10);
  private final long originNs = System.nanoTime();
  private final Selector selector;
  private final Thread thread;
  private final MembershipProtocol fleet;
  private DatagramChannel datagrams;
  private ServerSocketChannel listener;
  private Endpoint at;
  private boolean elsewhere;
  private boolean changed = true;
  private long rebindUs;
  private long lookUs;
  private long bytesLeft = BYTES_PER_S;
  private long refilledUs;
  private volatile MembershipView view;
  private volatile boolean ending;

  /** Opens the sockets; {@link #start} begins. */
  public MembershipService(Settings settings, Listener hearer, Log log) throws IOException {
    this.settings = settings;
    this.hearer = hearer;
    this.log = log;
    selector = Selector.open();
    bind();
    long epochUs =
        System.currentTimeMillis() * 1000 + Math.floorMod(System.nanoTime() / 1000, 1000);
    MemberId self = new MemberId(settings.name, epochUs);
    List<Endpoint> seeds = settings.seeds.stream().map(MembershipService::endpoint).toList();
    fleet =
        new MembershipProtocol(
            new LocalNode(settings.cluster, self, at, settings.zone, seeds),
            Tuning.of(settings.periodUs),
            new SplittableRandom(epochUs ^ settings.name.hashCode() * 0x9e3779b97f4a7c15L),
            nowUs());
    view = fleet.view(nowUs());
    thread = new Thread(this::run, "fleet");
    thread.setDaemon(true);
  }

  private static Endpoint endpoint(InetSocketAddress address) {
    return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
  }

  /** The task's clock (us). */
  public long nowUs() {
    return (System.nanoTime() - originNs) / 1000 + 1;
  }

  /** Answers exchanges of a further kind; before {@link #start}. */
  public void registerResponder(int kind, Supplier<ExchangeSession> with) {
    answers.put(kind, with);
  }

  /** Begins. */
  public void start() {
    answers.put(MEMBERS, () -> fleet.acceptSync());
    thread.start();
  }

  /** What is held of the fleet; for any thread. */
  public MembershipView view() {
    return view;
  }

  /** Where it is reached; for any thread once it has started. */
  public Endpoint endpoint() {
    return at;
  }

  /** Leaves a message for the task; false where its mailbox is full. For any thread. */
  public boolean submit(Consumer<MembershipProtocol> message) {
    boolean taken = mailbox.offer(message);
    selector.wakeup();
    return taken;
  }

  /** Opens an exchange of a further kind; on the task's own thread. False where too many go on. */
  public boolean startExchange(int kind, Endpoint with, ExchangeSession dialogue) {
    long out = conversations.values().stream().filter(c -> c.opened).count();
    if (out >= MOST_OUT || with.equals(at)) {
      return false;
    }
    SocketChannel channel = null;
    try {
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.connect(
          new InetSocketAddress(
              InetAddress.getByName(with.host()), with.port())); // literal: asks nobody
      SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT);
      conversations.put(key, new Conversation(channel, kind, dialogue, nowUs()));
      return true;
    } catch (IOException | RuntimeException e) {
      count("exchange.refused");
      close(channel);
      return false;
    }
  }

  /**
   * Says that it goes, and ends once that is said; waits so long at the most (ms). For any thread.
   */
  public void leaveAndStop(long mostMs) {
    submit(
        f -> {
          f.leave(nowUs());
          obey();
          ending = true;
        });
    try {
      thread.join(Math.max(1, mostMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends without a word. */
  @Override
  public void close() {
    ending = true;
    selector.wakeup();
  }

  // ---- sockets

  private void bind() throws IOException {
    try {
      open(settings.listen);
      at = endpoint(settings.advertise);
      if (settings.listen.getPort() == 0) {
        at = new Endpoint(at.host(), port());
      }
    } catch (
        IOException
            e) { // another process has the address: of this node, while it hands over, or by
      // mistake
      elsewhere = true;
      for (int i = 0; datagrams == null; i++) {
        try {
          open(new InetSocketAddress(settings.listen.getAddress(), 0));
        } catch (IOException again) {
          if (i == TRIES) {
            throw again;
          }
        }
      }
      at = new Endpoint(endpoint(settings.advertise).host(), port());
      rebindUs = nowUs() + REBIND_US;
      log.warn(
          "fleet: can't listen at "
              + settings.listen
              + " ("
              + e.getMessage()
              + "); listens at "
              + at
              + " until that is free");
    }
  }

  private int port() throws IOException {
    return ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  /** Both sockets at one address, or none. */
  private void open(InetSocketAddress where) throws IOException {
    ServerSocketChannel tcp = ServerSocketChannel.open();
    DatagramChannel udp = null;
    try {
      tcp.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
      tcp.bind(where, 64);
      udp = DatagramChannel.open();
      udp.setOption(java.net.StandardSocketOptions.SO_RCVBUF, 1 << 20);
      udp.bind(tcp.getLocalAddress());
      tcp.configureBlocking(false);
      udp.configureBlocking(false);
      tcp.register(selector, SelectionKey.OP_ACCEPT);
      udp.register(selector, SelectionKey.OP_READ);
    } catch (IOException e) {
      close(tcp);
      close(udp);
      throw e;
    }
    listener = tcp;
    datagrams = udp;
  }

  /** The address that it should have may be free now. */
  private void rebind(long nowUs) {
    rebindUs = nowUs + REBIND_US;
    ServerSocketChannel formerTcp = listener;
    DatagramChannel formerUdp = datagrams;
    try {
      open(settings.listen);
    } catch (IOException e) {
      return;
    }
    close(formerTcp);
    close(formerUdp);
    elsewhere = false;
    at = endpoint(settings.advertise);
    fleet.changeEndpoint(at, nowUs);
    log.info("fleet: listens at " + at + " now");
  }

  // ---- the thread

  private void run() {
    try {
      while (!ending) {
        turn();
      }
    } catch (IOException | ClosedSelectorException e) {
      log.warn("fleet: ends: " + e);
    } finally {
      conversations.values().forEach(c -> close(c.channel));
      close(listener);
      close(datagrams);
      close(selector);
    }
  }

  private void turn() throws IOException {
    long due = guarded(() -> fleet.onTimer(nowUs()), nowUs() + settings.periodUs);
    obey();
    due = Math.min(due, look());
    long waitMs =
        Math.max(
            1, Math.min(TimeUnit.MICROSECONDS.toMillis(due - nowUs()), settings.periodUs / 2_000));
    selector.select(waitMs);
    for (SelectionKey key : selector.selectedKeys()) {
      guarded(
          () -> {
            ready(key);
            return 0L;
          },
          0);
    }
    selector.selectedKeys().clear();
    for (int i = 0; i < MAILBOX; i++) {
      Consumer<MembershipProtocol> message = mailbox.poll();
      if (message == null) {
        break;
      }
      guarded(
          () -> {
            message.accept(fleet);
            return 0L;
          },
          0);
    }
    long now = nowUs();
    stalled(now);
    if (elsewhere && now >= rebindUs) {
      rebind(now);
    }
  }

  private interface RouteChange {
    long run() throws IOException;
  }

  /** Guards the task: whatever one message or connection throws ends that alone. */
  private long guarded(RouteChange step, long otherwise) {
    try {
      return step.run();
    } catch (IOException | RuntimeException e) {
      count("failures");
      StackTraceElement[] trace = e.getStackTrace();
      log.warn("fleet: " + e + (trace.length == 0 ? "" : " at " + trace[0]));
      return otherwise;
    }
  }

  /** Tells what has changed, but not too often; returns when to come back for it. */
  private long look() {
    long now = nowUs();
    if (now < lookUs) {
      return changed || fleet.isSettled(now) != view.settled() ? lookUs : Long.MAX_VALUE;
    }
    lookUs = now + LOOK_US;
    if (changed || fleet.isSettled(now) != view.settled()) {
      changed = false;
      view = fleet.view(now);
      hearer.viewChanged(view);
    }
    counts.forEach(hearer::counterIncreased);
    counts.clear();
    return Long.MAX_VALUE;
  }

  private void ready(SelectionKey key) throws IOException {
    if (!key.isValid()) {
      return;
    }
    if (key.channel() == datagrams) {
      read();
    } else if (key.channel() == listener) {
      accept();
    } else {
      converse(key);
    }
  }

  private void read() throws IOException {
    for (int i = 0; i < MOST_DATAGRAMS; i++) {
      packet.clear();
      try {
        if (datagrams.receive(packet) == null) {
          return;
        }
      } catch (java.net.PortUnreachableException e) {
        continue; // of something that was sent: said by the probe that has no answer
      }
      packet.flip();
      byte[] bytes = new byte[packet.remaining()];
      packet.get(bytes);
      count("datagrams.in");
      fleet.onDatagram(bytes, nowUs());
      obey();
    }
  }

  private void accept() throws IOException {
    SocketChannel channel = listener.accept();
    if (channel == null) {
      return;
    }
    if (conversations.size() >= MOST_IN + MOST_OUT) {
      count("exchange.full");
      close(channel);
      return;
    }
    channel.configureBlocking(false);
    SelectionKey key = channel.register(selector, SelectionKey.OP_READ);
    conversations.put(key, new Conversation(channel, 0, null, nowUs()));
  }

  private void converse(SelectionKey key) {
    Conversation c = conversations.get(key);
    if (c == null) {
      key.cancel();
      return;
    }
    try {
      if (key.isConnectable()) {
        c.channel.finishConnect();
        say(key, c, null);
      } else if (key.isWritable()) {
        write(key, c);
      } else if (key.isReadable()) {
        byte[] frame = c.frames.read(packet);
        c.movedUs = nowUs();
        if (frame != null) {
          hear(key, c, frame);
        }
      }
    } catch (IOException | CancelledKeyException e) {
      // the opener of an exchange ends it between two frames: only one that still waits for an
      // answer was broken off
      count(!c.opened && c.frames.between() ? "exchanges" : "exchange.broken");
      end(key, c, true);
    }
  }

  private void hear(SelectionKey key, Conversation c, byte[] frame) throws IOException {
    if (c.dialogue == null) {
      Supplier<ExchangeSession> answer = answers.get(c.frames.kind());
      if (answer == null) {
        throw new IOException("nothing is known of such an exchange");
      }
      c.dialogue = answer.get();
    }
    say(key, c, frame);
  }

  private void say(SelectionKey key, Conversation c, byte[] heard) throws IOException {
    byte[] next = c.dialogue.nextFrame(heard, nowUs());
    obey();
    if (next == null) {
      count("exchanges");
      end(key, c, false);
      return;
    }
    c.frames.send(c.opened ? c.kind : c.frames.kind(), next);
    c.movedUs = nowUs();
    count("exchange.bytes", next.length);
    write(key, c);
  }

  private void write(SelectionKey key, Conversation c) throws IOException {
    boolean all = c.frames.write();
    c.movedUs = nowUs();
    key.interestOps(all ? SelectionKey.OP_READ : SelectionKey.OP_WRITE);
  }

  private void end(SelectionKey key, Conversation c, boolean broken) {
    conversations.remove(key);
    key.cancel();
    close(c.channel);
    if (broken && c.dialogue != null) {
      c.dialogue.aborted();
    }
  }

  private void stalled(long nowUs) {
    List<SelectionKey> over = new ArrayList<>();
    conversations.forEach(
        (key, c) -> {
          if (nowUs - c.movedUs > STALL_US || nowUs > c.endUs) {
            over.add(key);
          }
        });
    for (SelectionKey key : over) {
      count("exchange.stalled");
      end(key, conversations.get(key), true);
    }
  }

  /** Carries out what the decisions ask. */
  private void obey() {
    for (Effect effect : fleet.drainEffects()) {
      if (effect instanceof Effect.SendDatagram send) {
        send(send);
      } else if (effect instanceof Effect.StartSync sync) {
        count("meet." + sync.reason().counterName());
        startExchange(MEMBERS, sync.peer(), fleet.openSync());
      } else if (effect instanceof Effect.WriteLog say) {
        if (say.warning()) {
          log.warn("fleet: " + say.line());
        } else {
          log.info("fleet: " + say.line());
        }
      } else if (effect instanceof Effect.IncrementCounter increment) {
        count(increment.counter().counterName());
      } else if (effect instanceof Effect.ViewChanged) {
        changed = true;
      } else if (effect instanceof Effect.RecordChanged one) {
        hearer.recordChanged(one.record());
      }
    }
  }

  private void send(Effect.SendDatagram send) {
    long now = nowUs();
    bytesLeft = Math.min(BYTES_PER_S, bytesLeft + (now - refilledUs) * BYTES_PER_S / 1_000_000);
    refilledUs = now;
    if (bytesLeft < send.payload().length) {
      count("datagrams.held");
      return;
    }
    bytesLeft -= send.payload().length;
    try {
      InetSocketAddress to =
          new InetSocketAddress(
              InetAddress.getByName(send.destination().host()), send.destination().port());
      if (datagrams.send(ByteBuffer.wrap(send.payload()), to) == 0) {
        count("datagrams.full");
      } else {
        count("datagrams.out");
        count("datagram.bytes", send.payload().length);
      }
    } catch (IOException | RuntimeException e) {
      count("datagrams.failed");
    }
  }

  private void count(String what) {
    count(what, 1);
  }

  private void count(String what, long more) {
    counts.merge(what, more, Long::sum);
  }

  private static void close(AutoCloseable what) {
    try {
      if (what != null) {
        what.close();
      }
    } catch (Exception e) {
      return; // it is of no use any more
    }
  }
}
