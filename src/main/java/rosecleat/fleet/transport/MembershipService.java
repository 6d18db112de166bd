package rosecleat.fleet.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;
import java.util.SplittableRandom;
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
 * Runs the membership protocol over sockets. One thread owns the protocol and the sockets; other
 * threads submit tasks to it through a bounded mailbox.
 */
public final class MembershipService implements AutoCloseable {
  /**
   * The kind number of exchanges that synchronize members and records; further kinds have other
   * numbers.
   */
  public static final int MEMBERSHIP_EXCHANGE_KIND = 1;

  private static final int MAILBOX_CAPACITY = 4_096;

  /** The minimum interval between two reports of views and counters. */
  private static final long REPORT_INTERVAL_US = 50_000;

  private static final int BUFFER_BYTES = 64 << 10;

  /** The golden ratio in 64 bits: spreads the hash of a name over all bits of a random seed. */
  private static final long NAME_SEED_FACTOR = 0x9e3779b97f4a7c15L;

  /** The configuration of a process's membership in its fleet. */
  public record Settings(
      String name,
      String cluster,
      InetSocketAddress listen,
      InetSocketAddress advertise,
      String zone,
      List<InetSocketAddress> seeds,
      long periodUs) {}

  /** Receives changes on the service's own thread; must not block. */
  public interface Listener {
    /** The membership view has changed. */
    void viewChanged(MembershipView view);

    /** A record is new, has changed, or (with a null payload) has expired. */
    void recordChanged(FleetRecord record);

    /** A counter has increased since it was last reported. */
    void counterIncreased(String counter, long increment);
  }

  private final Settings settings;
  private final Listener listener;
  private final Log log;
  private final ArrayBlockingQueue<Consumer<MembershipProtocol>> mailbox =
      new ArrayBlockingQueue<>(MAILBOX_CAPACITY);
  private final MonotonicClock clock = new MonotonicClock();
  private final CounterBuffer counters = new CounterBuffer();
  private final Selector selector;
  private final FleetSockets sockets;
  private final DatagramTransport datagrams;
  private final ExchangeManager exchanges;
  private final MembershipProtocol protocol;
  private final Thread thread;
  private boolean viewChanged = true;
  private long nextReportUs;
  private volatile MembershipView view;
  private volatile boolean stopping;

  /** Opens the sockets; {@link #start} starts the service. */
  public MembershipService(Settings settings, Listener listener, Log log) throws IOException {
    this.settings = settings;
    this.listener = listener;
    this.log = log;
    selector = Selector.open();
    sockets = new FleetSockets(settings.listen, settings.advertise, selector, log);
    sockets.bind(nowUs());
    ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    datagrams = new DatagramTransport(sockets, clock, counters, buffer);
    exchanges = new ExchangeManager(selector, clock, counters, buffer, this::runEffects);
    protocol = newProtocol();
    view = protocol.view(nowUs());
    thread = new Thread(this::run, "fleet");
    thread.setDaemon(true);
  }

  /**
   * Creates a protocol whose epoch is the time of day (us), so that a later start has a greater
   * one.
   */
  private MembershipProtocol newProtocol() {
    long epochUs =
        System.currentTimeMillis() * 1000 + Math.floorMod(System.nanoTime() / 1000, 1000);
    LocalNode local =
        new LocalNode(
            settings.cluster,
            new MemberId(settings.name, epochUs),
            sockets.endpoint(),
            settings.zone,
            settings.seeds.stream().map(FleetSockets::endpointOf).toList());
    long seed = epochUs ^ settings.name.hashCode() * NAME_SEED_FACTOR;
    return new MembershipProtocol(
        local, Tuning.of(settings.periodUs), new SplittableRandom(seed), nowUs());
  }

  /** Returns the time of the service's clock (us). */
  public long nowUs() {
    return clock.nowUs();
  }

  /** Registers the responder for exchanges of a further kind; call before {@link #start}. */
  public void registerResponder(int kind, Supplier<ExchangeSession> responder) {
    exchanges.registerResponder(kind, responder);
  }

  /** Starts the service's thread. */
  public void start() {
    exchanges.registerResponder(MEMBERSHIP_EXCHANGE_KIND, protocol::acceptSync);
    thread.start();
  }

  /** Returns the latest membership view; safe for any thread. */
  public MembershipView view() {
    return view;
  }

  /**
   * Returns the endpoint at which other members reach this process; safe for any thread once the
   * service has started.
   */
  public Endpoint endpoint() {
    return sockets.endpoint();
  }

  /**
   * Submits a task for the service's thread; returns false if its mailbox is full. Safe for any
   * thread.
   */
  public boolean submit(Consumer<MembershipProtocol> task) {
    boolean accepted = mailbox.offer(task);
    selector.wakeup();
    return accepted;
  }

  /**
   * Opens an exchange of a further kind; call on the service's own thread. Returns false if too
   * many are open, no connection can be opened, or the peer is this process.
   */
  public boolean startExchange(int kind, Endpoint peer, ExchangeSession session) {
    return !peer.equals(sockets.endpoint()) && exchanges.open(kind, peer, session);
  }

  /**
   * Leaves gracefully and stops; waits for the thread's end up to a timeout (ms). Safe for any
   * thread.
   */
  public void leaveAndStop(long timeoutMs) {
    submit(
        member -> {
          member.leave(nowUs());
          runEffects();
          stopping = true;
        });
    try {
      thread.join(Math.max(1, timeoutMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops without leaving gracefully. */
  @Override
  public void close() {
    stopping = true;
    selector.wakeup();
  }

  private void run() {
    try {
      while (!stopping) {
        runOnce();
      }
    } catch (IOException | ClosedSelectorException e) {
      log.warn("fleet: membership service stopped after a failure: " + e);
    } finally {
      exchanges.close();
      sockets.close();
      Closeables.closeQuietly(selector);
    }
  }

  /** Runs due timers, waits for sockets and tasks, and handles these. */
  private void runOnce() throws IOException {
    long dueUs = Math.min(runTimers(), reportChanges());
    selector.select(waitMs(dueUs));
    for (SelectionKey key : selector.selectedKeys()) {
      runGuarded(() -> onReady(key));
    }
    selector.selectedKeys().clear();
    runTasks();
    long nowUs = nowUs();
    exchanges.endStalled(nowUs);
    if (sockets.isRebindDue(nowUs) && sockets.rebind(nowUs)) {
      protocol.changeEndpoint(sockets.endpoint(), nowUs);
      log.info("fleet: sockets moved to the configured port, reachable at " + sockets.endpoint());
    }
  }

  /** Returns the time at which timers are due again; one period from now after a failure. */
  private long runTimers() {
    long dueUs = nowUs() + settings.periodUs;
    try {
      dueUs = protocol.onTimer(nowUs());
    } catch (RuntimeException e) {
      onFailure(e);
    }
    runEffects();
    return dueUs;
  }

  private long waitMs(long dueUs) {
    long maxWaitMs = settings.periodUs / 2_000; // half a period
    return Math.max(1, Math.min(TimeUnit.MICROSECONDS.toMillis(dueUs - nowUs()), maxWaitMs));
  }

  private void runTasks() {
    for (int done = 0; done < MAILBOX_CAPACITY; done++) {
      Consumer<MembershipProtocol> task = mailbox.poll();
      if (task == null) {
        return;
      }
      runGuarded(() -> task.accept(protocol));
    }
  }

  private interface Step {
    void run() throws IOException;
  }

  /**
   * Runs a step whose failure affects one message or connection only and must not stop the service.
   */
  private void runGuarded(Step step) {
    try {
      step.run();
    } catch (IOException | RuntimeException e) {
      onFailure(e);
    }
  }

  private void onFailure(Exception failure) {
    counters.increment(TransportCounter.FAILURES);
    StackTraceElement[] trace = failure.getStackTrace();
    log.warn(
        "fleet: event handling failed: " + failure + (trace.length == 0 ? "" : " at " + trace[0]));
  }

  private void onReady(SelectionKey key) throws IOException {
    if (!key.isValid()) {
      return;
    }
    if (key.channel() == sockets.datagrams()) {
      datagrams.receive(this::onDatagram);
    } else if (key.channel() == sockets.listener()) {
      exchanges.accept(sockets.listener());
    } else {
      exchanges.onReady(key);
    }
  }

  private void onDatagram(byte[] payload) {
    protocol.onDatagram(payload, nowUs());
    runEffects();
  }

  /**
   * Reports a changed view and counters, at most once per report interval; returns the time of the
   * next call.
   */
  private long reportChanges() {
    long nowUs = nowUs();
    boolean changed = viewChanged || protocol.isSettled(nowUs) != view.settled();
    if (nowUs < nextReportUs) {
      return changed ? nextReportUs : Long.MAX_VALUE;
    }
    nextReportUs = nowUs + REPORT_INTERVAL_US;
    if (changed) {
      viewChanged = false;
      view = protocol.view(nowUs);
      listener.viewChanged(view);
    }
    counters.flush(listener::counterIncreased);
    return Long.MAX_VALUE;
  }

  /** Handles the effects that the protocol has queued. */
  private void runEffects() {
    protocol.drainEffects().forEach(this::runEffect);
  }

  private void runEffect(Effect effect) {
    if (effect instanceof Effect.SendDatagram send) {
      datagrams.send(send.destination(), send.payload());
    } else if (effect instanceof Effect.StartSync sync) {
      counters.add("meet." + sync.reason().counterName(), 1);
      startExchange(MEMBERSHIP_EXCHANGE_KIND, sync.peer(), protocol.openSync());
    } else if (effect instanceof Effect.WriteLog entry) {
      writeLog(entry);
    } else if (effect instanceof Effect.IncrementCounter increment) {
      counters.add(increment.counter().counterName(), 1);
    } else if (effect instanceof Effect.ViewChanged) {
      viewChanged = true;
    } else if (effect instanceof Effect.RecordChanged change) {
      listener.recordChanged(change.record());
    }
  }

  private void writeLog(Effect.WriteLog entry) {
    if (entry.warning()) {
      log.warn("fleet: " + entry.line());
    } else {
      log.info("fleet: " + entry.line());
    }
  }
}
