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
 * Many members on one virtual clock, connected by a simulated network that loses, duplicates and
 * delays messages and can be partitioned. All randomness comes from one seed.
 */
public final class SimulatedCluster {
  /** The protocol period (us). */
  public static final long PERIOD_US = 1_000_000;

  private static final String CLUSTER = "test";
  private static final int PORT = 7_946;

  /** Bytes that network headers add to a datagram. */
  private static final int NETWORK_HEADER_BYTES = 28;

  /**
   * The number of deliveries queued for a paused member; further ones are dropped, as full socket
   * buffers would drop them.
   */
  private static final int MAX_DELAYED_BY_PAUSE = 200;

  private static final long MIN_DELAY_US = 200;
  private static final long MAX_EXTRA_DELAY_US = 5_000;

  private record Event(long atUs, long sequence, Runnable action) {}

  /** One simulated member. */
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

    /** Returns the endpoint at which other members reach this one. */
    public Endpoint endpoint() {
      return new Endpoint("10.0." + index / 250 + "." + index % 250, PORT);
    }

    String zone() {
      return "z" + index % 3;
    }

    /** Starts or restarts this member, with the members of the given indexes as seeds. */
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

    /** Pauses this member for a duration; messages that arrive meanwhile are handled afterwards. */
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

    /** Runs due timers and the resulting effects. */
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

    /** Runs the effects that the protocol has queued. */
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

  /** The sums of all members' counters by name. */
  public final Map<String, Long> counters = new TreeMap<>();

  /** The probabilities that a datagram is lost and that it is duplicated. */
  public double loss;

  public double duplication;

  /** Whether the network passes messages from one member to another, given by their indexes. */
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

  /** Starts all members at once with the given seeds. */
  public SimulatedCluster started(int... seeds) {
    peers.forEach(peer -> peer.start(seeds));
    return this;
  }

  /** Starts all members with complete views, as after a long run without faults. */
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

  /** Returns the digest of all datagrams, frames and other effects so far. */
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

  /**
   * An exchange between two members, which ends when either crashes or the responder is restarted.
   */
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

  /** Advances virtual time by the given number of periods. */
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
   * Runs until a condition holds, which is checked ten times a period; returns the periods that
   * passed, or -1 if the condition does not hold within {@code maxPeriods}.
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

  /** Returns the members that are running. */
  public List<Peer> running() {
    return peers.stream().filter(peer -> !peer.crashed && peer.protocol != null).toList();
  }

  /** Returns whether the views of all running members are settled. */
  public boolean allSettled() {
    return running().stream().allMatch(peer -> peer.protocol.isSettled(nowUs));
  }

  /** Returns whether the view of each running member has exactly the running members as active. */
  public boolean viewsAgree() {
    List<Peer> running = running();
    if (running.isEmpty()) {
      return true;
    }
    MembershipProtocol first = running.get(0).protocol;
    return running.stream().allMatch(peer -> peer.protocol.digest() == first.digest())
        && first.view(nowUs).activeCount() == running.size();
  }

  /** Returns whether no running member has the given member as active. */
  public boolean allConsiderGone(MemberId id) {
    return running().stream()
        .noneMatch(peer -> peer.protocol.stateOf(id).filter(MemberState::isActive).isPresent());
  }
}
