package rosecleat.fleet;

import java.nio.charset.StandardCharsets;
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

/**
 * Many processes' parts in a fleet on one virtual clock, with a network between them that loses,
 * delays and splits.
 */
public final class SimulatedCluster {
  public static final long PERIOD = 1_000_000;

  private record Event(long atUs, long nr, Runnable what) {}

  /** One process. */
  public final class Peer {
    public final int index;
    public MembershipProtocol fleet;
    public boolean dead;
    public long pausedUntil;
    private long epochs;
    private final List<Runnable> queued = new ArrayList<>();
    private long wakeAt = Long.MAX_VALUE;
    public long deadSeen;
    public final Map<String, byte[]> records = new HashMap<>();

    Peer(int index) {
      this.index = index;
    }

    public Endpoint at() {
      return new Endpoint("10.0." + index / 250 + "." + index % 250, 7946);
    }

    public void start(int... seeds) {
      List<Endpoint> at = new ArrayList<>();
      for (int seed : seeds) {
        at.add(peers.get(seed).at());
      }
      dead = false;
      fleet =
          new MembershipProtocol(
              new LocalNode(
                  "test",
                  new MemberId("n" + index, Math.max(nowUs, 1) + ++epochs),
                  at(),
                  "z" + index % 3,
                  at),
              tuning,
              random.split(),
              nowUs);
      run();
    }

    public void crash() {
      dead = true;
    }

    public void pause(long us) {
      pausedUntil = nowUs + us;
      SimulatedCluster.this.schedule(
          pausedUntil,
          () -> {
            if (nowUs >= pausedUntil) {
              List<Runnable> all = List.copyOf(queued);
              queued.clear();
              all.forEach(Runnable::run);
              run();
            }
          });
    }

    /** Runs what is due, and carries out what comes of it. */
    public void run() {
      if (dead) {
        return;
      }
      long next = fleet.onTimer(nowUs);
      obey();
      schedule(next);
    }

    private void schedule(long next) {
      if (next < wakeAt || wakeAt <= nowUs) {
        wakeAt = Math.max(next, nowUs + 1);
        long mine = wakeAt;
        MembershipProtocol of = fleet;
        SimulatedCluster.this.schedule(
            mine,
            () -> {
              if (wakeAt == mine && of == fleet && nowUs >= pausedUntil) {
                wakeAt = Long.MAX_VALUE;
                run();
              }
            });
      }
    }

    public void obey() {
      for (Effect effect : fleet.drainEffects()) {
        record(effect);
        if (effect instanceof Effect.SendDatagram send) {
          messages++;
          bytes += send.payload().length + 28;
          if (send.payload().length > largest) {
            largest = send.payload().length;
          }
          deliver(this, send.destination(), send.payload());
        } else if (effect instanceof Effect.StartSync sync) {
          Peer with = byAddress.get(sync.peer());
          if (with != null
              && with != this
              && link.test(index, with.index)
              && link.test(with.index, index)
              && !with.dead) {
            exchanges++;
            talk(this, fleet.openSync(), with, with.fleet.acceptSync(), null, true, with.fleet);
          }
        } else if (effect instanceof Effect.IncrementCounter count) {
          counts.merge(count.counter().counterName(), 1L, Long::sum);
          if (count.counter().counterName().equals("dead")) {
            deadSeen++;
          }
        } else if (effect instanceof Effect.RecordChanged r) {
          records.put(
              r.record().owner() + "/" + r.record().kind() + "/" + r.record().key(),
              r.record().payload());
        }
      }
    }
  }

  public final List<Peer> peers = new ArrayList<>();
  private final Map<Endpoint, Peer> byAddress = new HashMap<>();
  public final Map<String, Long> counts = new TreeMap<>();
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::atUs).thenComparingLong(Event::nr));
  public final SplittableRandom random;
  public final Tuning tuning;
  public long nowUs = 1_000_000;
  public double loss;
  public double twice;

  /** Whether something can pass from one to another. */
  public BiPredicate<Integer, Integer> link = (a, b) -> true;

  public long messages;
  public long bytes;
  public long exchanges;
  public int largest;
  private long nr;

  /** A digest of all datagrams, frames and other effects in their order: equal for equal runs. */
  public long trace;

  public SimulatedCluster(int size, long seed) {
    this(size, seed, Tuning.of(PERIOD));
  }

  public SimulatedCluster(int size, long seed, Tuning tuning) {
    random = new SplittableRandom(seed);
    this.tuning = tuning;
    for (int i = 0; i < size; i++) {
      Peer peer = new Peer(i);
      peers.add(peer);
      byAddress.put(peer.at(), peer);
    }
  }

  /** All start at once and know some seeds. */
  public SimulatedCluster started(int... seeds) {
    peers.forEach(p -> p.start(seeds));
    return this;
  }

  /** All know one another already: as after a long calm. */
  public SimulatedCluster acquainted() {
    started(0);
    for (Peer peer : peers) {
      rosecleat.fleet.wire.Exchange.Builder all =
          rosecleat.fleet.wire.Exchange.newBuilder().setCluster("test");
      Peer first = peer.index == 0 ? peers.get(1) : peers.get(0);
      all.setFrom(news(first));
      peers.forEach(
          other -> {
            if (other != peer) {
              all.addMembers(news(other));
            }
          });
      peer.fleet.acceptSync().nextFrame(Checksum.attach(all.build().toByteArray(), "test"), nowUs);
      peer.fleet.drainEffects();
    }
    run(3);
    counts.clear();
    return this;
  }

  private void record(Effect effect) {
    if (effect instanceof Effect.SendDatagram send) {
      record("send " + send.destination());
      trace = Hash.of(send.payload(), trace);
    } else if (effect instanceof Effect.StartSync sync) {
      record("sync " + sync.peer() + " " + sync.reason().counterName());
    } else if (effect instanceof Effect.WriteLog say) {
      record("log " + say.warning() + " " + say.line());
    } else if (effect instanceof Effect.IncrementCounter count) {
      record("count " + count.counter().counterName());
    } else if (effect instanceof Effect.ViewChanged) {
      record("changed");
    } else if (effect instanceof Effect.RecordChanged recorded) {
      FleetRecord written = recorded.record();
      record(
          "record "
              + written.owner()
              + "/"
              + written.kind()
              + "/"
              + written.key()
              + " "
              + written.version()
              + " "
              + (written.payload() == null));
    }
  }

  private void record(String line) {
    trace = Hash.of(line.getBytes(StandardCharsets.UTF_8), trace);
  }

  private rosecleat.fleet.wire.MemberNews news(Peer p) {
    return WireCodec.encode(
        new MemberUpdate(p.fleet.localId(), p.at(), "z" + p.index % 3, MemberState.ALIVE, 1, 0));
  }

  void schedule(long us, Runnable what) {
    queue.add(new Event(us, nr++, what));
  }

  private long delay() {
    return 200 + random.nextLong(5_000);
  }

  void deliver(Peer from, Endpoint to, byte[] bytes) {
    Peer peer = byAddress.get(to);
    if (peer == null
        || !link.test(from.index, peer.index)
        || loss > 0 && random.nextDouble() < loss) {
      return;
    }
    for (int copies = twice > 0 && random.nextDouble() < twice ? 2 : 1; copies > 0; copies--) {
      schedule(
          nowUs + delay(),
          () ->
              arrive(
                  peer,
                  () -> {
                    peer.fleet.onDatagram(bytes, nowUs);
                    peer.run();
                  }));
    }
  }

  private void arrive(Peer peer, Runnable what) {
    if (peer.dead || peer.fleet == null) {
      return;
    }
    if (nowUs < peer.pausedUntil) {
      if (peer.queued.size() < 200) {
        peer.queued.add(what);
      }
      return;
    }
    what.run();
  }

  private void talk(
      Peer one,
      ExchangeSession mine,
      Peer other,
      ExchangeSession theirs,
      byte[] frame,
      boolean myTurn,
      MembershipProtocol with) {
    schedule(
        nowUs + delay(),
        () -> {
          Peer turn = myTurn ? one : other;
          if (one.dead
              || other.dead
              || other.fleet != with
              || !link.test(one.index, other.index)
              || !link.test(other.index, one.index)) {
            return;
          }
          arrive(
              turn,
              () -> {
                byte[] next = (myTurn ? mine : theirs).nextFrame(frame, nowUs);
                turn.run();
                if (next != null) {
                  bytes += next.length;
                  trace = Hash.of(next, trace);
                  talk(one, mine, other, theirs, next, !myTurn, with);
                }
              });
        });
  }

  /** Lets so many periods pass. */
  public void run(double periods) {
    long end = nowUs + (long) (periods * PERIOD);
    while (!queue.isEmpty() && queue.peek().atUs <= end) {
      Event event = queue.poll();
      nowUs = event.atUs;
      event.what.run();
    }
    nowUs = end;
  }

  /**
   * Runs until something holds, looking ten times a period; the periods that took, or -1 after so
   * many.
   */
  public double until(double most, BooleanSupplier holds) {
    for (double waited = 0; waited <= most; waited += 0.1) {
      if (holds.getAsBoolean()) {
        return waited;
      }
      run(0.1);
    }
    return -1;
  }

  public List<Peer> living() {
    return peers.stream().filter(p -> !p.dead && p.fleet != null).toList();
  }

  /** Whether all that live hold exactly one another for there. */
  public boolean agree() {
    List<Peer> living = living();
    if (living.isEmpty()) {
      return true;
    }
    long digest = living.get(0).fleet.digest();
    for (Peer peer : living) {
      if (peer.fleet.digest() != digest) {
        return false;
      }
    }
    return living.get(0).fleet.view(nowUs).activeCount() == living.size();
  }

  /** Whether all that live hold one for gone. */
  public boolean gone(MemberId id) {
    for (Peer peer : living()) {
      if (peer.fleet.stateOf(id).filter(MemberState::isActive).isPresent()) {
        return false;
      }
    }
    return true;
  }
}
