package rosecleat.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import rosecleat.fleet.wire.MemberUpdateMessage;
import rosecleat.fleet.wire.SyncFrame;

/**
 * Many members on one virtual clock, with a network between them that loses, duplicates, delays and
 * partitions. All is drawn from one seed.
 */
public final class SimulatedCluster {
  /** The protocol period (us). */
  public static final long PERIOD_US = 1_000_000;

  private static final String CLUSTER = "test";
  private static final int PORT = 7_946;

  /** Bytes that the network adds to a datagram. */
  private static final int NETWORK_HEADER_BYTES = 28;

  /** Events that wait for a paused member; its sockets would drop more. */
  private static final int MAX_DELAYED_BY_PAUSE = 200;

  private static final long MIN_DELAY_US = 200;
  private static final long MAX_EXTRA_DELAY_US = 5_000;

  private record Event(long atUs, long sequence, Runnable action) {}

  /** One member. */
  public final class Peer {
    public final int index;
    public MembershipProtocol protocol;
    public boolean crashed;
    public long pausedUntilUs;
    private long starts;
    private final List<Runnable> delayedByPause = new ArrayList<>();
    private long timerUs = Long.MAX_VALUE;

    Peer(int index) {
      this.index = index;
    }

    /** Where the others reach it. */
    public Endpoint endpoint() {
      return new Endpoint("10.0." + index / 250 + "." + index % 250, PORT);
    }

    String zone() {
      return "z" + index % 3;
    }

    /** Starts it anew, with the seeds of these numbers. */
    public void start(int... seeds) {
      List<Endpoint> seedEndpoints = new ArrayList<>();
      for (int seed : seeds) {
        seedEndpoints.add(peers.get(seed).endpoint());
      }
      crashed = false;
      MemberId id = new MemberId("n" + index, Math.max(nowUs, 1) + ++starts);
      LocalNode local = new LocalNode(CLUSTER, id, endpoint(), zone(), seedEndpoints);
      protocol = new MembershipProtocol(local, tuning, random.split(), nowUs);
      run();
    }

    public void crash() {
      crashed = true;
    }

    /** Stands still for a while; what comes meanwhile is handled afterwards. */
    public void pause(long durationUs) {
      pausedUntilUs = nowUs + durationUs;
      SimulatedCluster.this.schedule(
          pausedUntilUs,
          () -> {
            if (nowUs >= pausedUntilUs) {
              resume();
            }
          });
    }

    private void resume() {
      List<Runnable> delayed = List.copyOf(delayedByPause);
      delayedByPause.clear();
      delayed.forEach(Runnable::run);
      run();
    }

    /** Runs due timers, and carries out the effects. */
    public void run() {
      if (crashed) {
        return;
      }
      long nextTimerUs = protocol.onTimer(nowUs);
      runEffects();
      scheduleTimer(nextTimerUs);
    }

    private void scheduleTimer(long nextTimerUs) {
      if (nextTimerUs >= timerUs && timerUs > nowUs) {
        return;
      }
      long scheduledUs = Math.max(nextTimerUs, nowUs + 1);
      timerUs = scheduledUs;
      MembershipProtocol scheduledFor = protocol;
      SimulatedCluster.this.schedule(
          scheduledUs,
          () -> {
            boolean current = timerUs == scheduledUs && scheduledFor == protocol;
            if (current && nowUs >= pausedUntilUs) {
              timerUs = Long.MAX_VALUE;
              run();
            }
          });
    }

    /** Carries out what the protocol asks. */
    public void runEffects() {
      for (Effect effect : protocol.drainEffects()) {
        trace.add(effect);
        if (effect instanceof Effect.SendDatagram send) {
          send(this, send.destination(), send.payload());
        } else if (effect instanceof Effect.StartSync sync) {
          startSync(this, sync.peer());
        } else if (effect instanceof Effect.IncrementCounter increment) {
          counters.merge(increment.counter().counterName(), 1L, Long::sum);
        }
      }
    }
  }

  public final List<Peer> peers = new ArrayList<>();
  public final SplittableRandom random;
  public final Tuning tuning;
  public long nowUs = 1_000_000;

  /** Counters of all members, by name. */
  public final Map<String, Long> counters = new TreeMap<>();

  /** The probabilities that a datagram is lost, and that it is duplicated. */
  public double loss;

  public double duplication;

  /** Whether something can pass from one member to another, by their numbers. */
  public BiPredicate<Integer, Integer> link = (from, to) -> true;

  public long messages;
  public long bytes;
  public int largestDatagram;
  private final EffectTrace trace = new EffectTrace();
  private final Map<Endpoint, Peer> byEndpoint = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atUs).thenComparingLong(Event::sequence));
  private long eventSequence;

  public SimulatedCluster(int size, long seed) {
    this(size, seed, Tuning.of(PERIOD_US));
  }

  public SimulatedCluster(int size, long seed, Tuning tuning) {
    random = new SplittableRandom(seed);
    this.tuning = tuning;
    for (int i = 0; i < size; i++) {
      Peer peer = new Peer(i);
      peers.add(peer);
      byEndpoint.put(peer.endpoint(), peer);
    }
  }

  /** All start at once, with these seeds. */
  public SimulatedCluster started(int... seeds) {
    peers.forEach(peer -> peer.start(seeds));
    return this;
  }

  /** All start and know one another already, as after a long calm. */
  public SimulatedCluster startedWithFullViews() {
    started(0);
    for (Peer peer : peers) {
      SyncFrame.Builder allMembers = SyncFrame.newBuilder().setCluster(CLUSTER);
      Peer introducer = peer.index == 0 ? peers.get(1) : peers.get(0);
      allMembers.setFrom(aliveUpdate(introducer));
      for (Peer other : peers) {
        if (other != peer) {
          allMembers.addMembers(aliveUpdate(other));
        }
      }
      byte[] frame = Checksum.attach(allMembers.build().toByteArray(), CLUSTER);
      peer.protocol.acceptSync().nextFrame(frame, nowUs);
      peer.protocol.drainEffects();
    }
    run(3);
    counters.clear();
    return this;
  }

  private static MemberUpdateMessage aliveUpdate(Peer peer) {
    MemberId id = peer.protocol.localId();
    return WireCodec.encode(
        new MemberUpdate(id, peer.endpoint(), peer.zone(), MemberState.ALIVE, 1, 0));
  }

  /** The digest of all datagrams, frames and other effects so far. */
  public long traceDigest() {
    return trace.digest();
  }

  private void schedule(long atUs, Runnable action) {
    events.add(new Event(atUs, eventSequence++, action));
  }

  private long networkDelayUs() {
    return MIN_DELAY_US + random.nextLong(MAX_EXTRA_DELAY_US);
  }

  private void send(Peer from, Endpoint destination, byte[] payload) {
    messages++;
    bytes += payload.length + NETWORK_HEADER_BYTES;
    largestDatagram = Math.max(largestDatagram, payload.length);
    Peer receiver = byEndpoint.get(destination);
    if (receiver == null
        || !link.test(from.index, receiver.index)
        || (loss > 0 && random.nextDouble() < loss)) {
      return;
    }
    int copies = duplication > 0 && random.nextDouble() < duplication ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      schedule(
          nowUs + networkDelayUs(),
          () ->
              deliver(
                  receiver,
                  () -> {
                    receiver.protocol.onDatagram(payload, nowUs);
                    receiver.run();
                  }));
    }
  }

  private void deliver(Peer receiver, Runnable handler) {
    if (receiver.crashed || receiver.protocol == null) {
      return;
    }
    if (nowUs >= receiver.pausedUntilUs) {
      handler.run();
    } else if (receiver.delayedByPause.size() < MAX_DELAYED_BY_PAUSE) {
      receiver.delayedByPause.add(handler);
    }
  }

  /** An exchange between two members, which ends when either is restarted. */
  private record Sync(
      Peer opener,
      ExchangeSession openerSession,
      Peer responder,
      ExchangeSession responderSession,
      MembershipProtocol responderProtocol) {}

  private void startSync(Peer opener, Endpoint destination) {
    Peer responder = byEndpoint.get(destination);
    if (responder == null
        || responder == opener
        || responder.crashed
        || !areConnected(opener, responder)) {
      return;
    }
    ExchangeSession openerSession = opener.protocol.openSync();
    ExchangeSession responderSession = responder.protocol.acceptSync();
    continueSync(
        new Sync(opener, openerSession, responder, responderSession, responder.protocol),
        null,
        true);
  }

  private boolean areConnected(Peer one, Peer other) {
    return link.test(one.index, other.index) && link.test(other.index, one.index);
  }

  private void continueSync(Sync sync, byte[] received, boolean openersTurn) {
    schedule(
        nowUs + networkDelayUs(),
        () -> {
          if (sync.opener.crashed
              || sync.responder.crashed
              || sync.responder.protocol != sync.responderProtocol
              || !areConnected(sync.opener, sync.responder)) {
            return;
          }
          Peer receiver = openersTurn ? sync.opener : sync.responder;
          deliver(receiver, () -> handleFrame(sync, received, openersTurn));
        });
  }

  private void handleFrame(Sync sync, byte[] received, boolean openersTurn) {
    ExchangeSession session = openersTurn ? sync.openerSession : sync.responderSession;
    byte[] next = session.nextFrame(received, nowUs);
    (openersTurn ? sync.opener : sync.responder).run();
    if (next != null) {
      bytes += next.length;
      trace.add(next);
      continueSync(sync, next, !openersTurn);
    }
  }

  /** Lets so many periods pass. */
  public void run(double periods) {
    long endUs = nowUs + (long) (periods * PERIOD_US);
    while (!events.isEmpty() && events.peek().atUs <= endUs) {
      Event event = events.poll();
      nowUs = event.atUs;
      event.action.run();
    }
    nowUs = endUs;
  }

  /**
   * Runs until a condition holds, which is tried ten times a period; returns the periods that
   * passed, or -1 after so many.
   */
  public double runUntil(double maxPeriods, BooleanSupplier condition) {
    for (double waited = 0; waited <= maxPeriods; waited += 0.1) {
      if (condition.getAsBoolean()) {
        return waited;
      }
      run(0.1);
    }
    return -1;
  }

  /** The members that run. */
  public List<Peer> running() {
    return peers.stream().filter(peer -> !peer.crashed && peer.protocol != null).toList();
  }

  /** Whether the views of all running members are settled. */
  public boolean allSettled() {
    return running().stream().allMatch(peer -> peer.protocol.isSettled(nowUs));
  }

  /** Whether all running members hold exactly one another for active. */
  public boolean viewsAgree() {
    List<Peer> running = running();
    if (running.isEmpty()) {
      return true;
    }
    MembershipProtocol first = running.get(0).protocol;
    return running.stream().allMatch(peer -> peer.protocol.digest() == first.digest())
        && first.view(nowUs).activeCount() == running.size();
  }

  /** Whether no running member holds another for active. */
  public boolean allConsiderGone(MemberId id) {
    return running().stream()
        .noneMatch(peer -> peer.protocol.stateOf(id).filter(MemberState::isActive).isPresent());
  }
}
