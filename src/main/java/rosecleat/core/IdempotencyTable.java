package rosecleat.core;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * What is known of keyed requests: which try ran, what came of it, and which tries wait for that.
 * Results are kept byte for byte, within a bound; where one had to go, later repeats fail rather
 * than run again.
 */
final class IdempotencyTable {
  /**
   * What {@link #original} says of a key that another process runs: the number of no request here.
   */
  private static final long ELSEWHERE = Long.MAX_VALUE;

  /** One request with all its tries. Without an owner it runs in another process. */
  static final class Entry {
    private final Key key;
    private final byte[] digest;
    private InFlightRequest owner;
    private long untilUs;
    private boolean ran;
    private boolean ended;
    private byte[] result;
    private List<InFlightRequest> waiting = new ArrayList<>();

    private Entry(Key key, byte[] digest) {
      this.key = key;
      this.digest = digest;
    }

    /** The result, or null while there is none or where there will be none. */
    byte[] result() {
      return result;
    }

    /** The key by its text, as other processes know it. */
    String name() {
      return key.name();
    }

    /** Whether anybody waits for its result. */
    boolean awaited() {
      return !waiting.isEmpty();
    }

    /** Whether the run has ended. */
    boolean ended() {
      return ended;
    }
  }

  /** By names, which outlast the numbers of classes and tenants. */
  private record Key(String kind, String tenant, String once) {
    String name() {
      return kind + '\0' + tenant + '\0' + once;
    }
  }

  private long lateUs;
  private final long resultBytes;
  private final Map<Key, Entry> entries = new HashMap<>();
  private final ArrayDeque<Entry> results = new ArrayDeque<>();
  private long held;

  /** A table that keeps so many bytes of results. */
  IdempotencyTable(long resultBytes) {
    this.resultBytes = resultBytes;
  }

  /** Lapsed entries are kept so much longer, for tries that are read late. */
  void keepLate(long us) {
    lateUs = us;
  }

  private static Key key(InFlightRequest life) {
    return new Key(life.request.className(), life.tenant, life.request.idempotencyKey());
  }

  /** The entry that was in force when the request came to the machine, or null. */
  Entry find(InFlightRequest life) {
    Entry entry = entries.get(key(life));
    return entry == null || life.request.arrivedAtUs() > entry.untilUs ? null : entry;
  }

  /** The number of the kept try that this one repeats, 0 for new work. */
  long original(InFlightRequest life) {
    Entry entry = find(life);
    if (entry == null) {
      return 0;
    }
    return entry.owner == null
        ? ELSEWHERE
        : entry.ran || entry.owner.state == RequestState.HELD ? entry.owner.seq : 0;
  }

  /** The key of a request, as other processes know it. */
  static String name(InFlightRequest life) {
    return key(life).name();
  }

  /** Another process runs the request: its tries here wait for that. */
  Entry elsewhere(InFlightRequest life, IdempotencyClaims.OwnedByPeer claim) {
    Entry entry = new Entry(key(life), claim.digest());
    entry.ran = true;
    entry.untilUs = claim.untilUs();
    Entry before = entries.put(entry.key, entry);
    if (before != null) {
      entry.waiting.addAll(before.waiting);
      drop(before);
    }
    return entry;
  }

  /** The keys that other processes run and of which nothing more is known. */
  List<Entry> elsewhere() {
    return entries.values().stream().filter(entry -> entry.owner == null && !entry.ended).toList();
  }

  /** The run of another process has ended. Returns those that waited for it. */
  List<InFlightRequest> endedElsewhere(Entry entry, byte[] result, boolean neverRan) {
    if (neverRan) {
      entries.remove(entry.key);
    }
    return ended(entry, result);
  }

  /** Whether a known request with this key carries another body: not a repeat but a mistake. */
  boolean differs(InFlightRequest life) {
    Entry entry = find(life);
    return entry != null && !Arrays.equals(entry.digest, digest(life.request.body()));
  }

  /**
   * Guards results against another body that is made to look the same: whoever sends it must not be
   * served them.
   */
  static byte[] digest(byte[] body) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(body);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // each Java platform has it
    }
  }

  /** Enters a try, or renews its entry; a try whose request ran stays in its place. */
  void keep(InFlightRequest life, long untilUs) {
    Key key = key(life);
    Entry entry = entries.get(key);
    if (entry == null || life.request.arrivedAtUs() > entry.untilUs) {
      drop(entry);
      entry = new Entry(key, digest(life.request.body()));
      entries.put(key, entry);
    }
    if (!entry.ran) {
      entry.owner = life;
    }
    entry.untilUs = Math.max(entry.untilUs, untilUs);
  }

  /** A try is about to run: its entry stays in force until {@code untilUs} at least. */
  void running(InFlightRequest life, long untilUs) {
    keep(life, untilUs);
    entries.get(key(life)).ran = true;
  }

  /** Takes out the entry of a try that never ran. */
  void forget(InFlightRequest life) {
    Entry entry = entries.get(key(life));
    if (entry != null && entry.owner == life && !entry.ran) {
      entries.remove(entry.key);
    }
  }

  /**
   * The run of a try is over, with its result or without (null). Returns those that waited for it.
   */
  List<InFlightRequest> ended(InFlightRequest life, byte[] result) {
    Entry entry = entries.get(key(life));
    return entry == null || entry.owner != life ? List.of() : ended(entry, result);
  }

  private List<InFlightRequest> ended(Entry entry, byte[] result) {
    entry.ended = true;
    if (result != null) {
      entry.result = result;
      results.add(entry);
      held += result.length;
      while (held > resultBytes) {
        release(results.remove());
      }
    }
    List<InFlightRequest> waited = entry.waiting;
    entry.waiting = new ArrayList<>();
    return waited;
  }

  /**
   * The run of a try is proven never to have begun: forgets it, and returns those that waited for
   * it.
   */
  List<InFlightRequest> neverRan(InFlightRequest life) {
    Entry entry = entries.get(key(life));
    if (entry == null || entry.owner != life) {
      return List.of();
    }
    entries.remove(entry.key);
    return entry.waiting;
  }

  /** Lets a repeat wait for the end of the run. */
  void wait(Entry entry, InFlightRequest life) {
    entry.waiting.add(life);
  }

  /** Drops what no try can ask for any more. */
  void expire(long nowUs) {
    Iterator<Entry> all = entries.values().iterator();
    while (all.hasNext()) {
      Entry entry = all.next();
      if (nowUs > entry.untilUs + lateUs && entry.waiting.isEmpty()) {
        all.remove();
        drop(entry);
      }
    }
  }

  private void drop(Entry entry) {
    if (entry != null && results.remove(entry)) {
      release(entry);
    }
  }

  private void release(Entry entry) {
    held -= entry.result == null ? 0 : entry.result.length;
    entry.result = null;
  }
}
