package rosecleat.core;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The idempotency keys in force. Results are cached byte for byte, within a bound; where one was
 * evicted, later attempts fail rather than run again. For the core's thread.
 */
final class IdempotencyTable {
  private final long maxResultBytes;
  private final Map<IdempotencyKey, IdempotencyEntry> entries = new HashMap<>();

  /** Entries with a result, oldest first. */
  private final ArrayDeque<IdempotencyEntry> results = new ArrayDeque<>();

  private long resultBytes;
  private long retentionUs;

  /** A table that caches so many bytes of results. */
  IdempotencyTable(long maxResultBytes) {
    this.maxResultBytes = maxResultBytes;
  }

  /** Retains expired entries so much longer, for attempts that are read long after they arrived. */
  void retainExpired(long durationUs) {
    retentionUs = durationUs;
  }

  /** The entry that was in force when the request arrived at this machine. */
  Optional<IdempotencyEntry> find(InFlightRequest request) {
    return Optional.ofNullable(entries.get(IdempotencyKey.of(request)))
        .filter(entry -> entry.inForceAt(request.request().arrivedAtUs()));
  }

  /** The policy's number of the attempt that this one repeats; 0 for a new request. */
  long originalSequence(InFlightRequest request) {
    return find(request).map(IdempotencyEntry::originalSequence).orElse(0L);
  }

  /** Whether an earlier attempt with the same key carried a different body. */
  boolean conflicts(InFlightRequest request) {
    return find(request)
        .filter(entry -> !Arrays.equals(entry.bodyDigest, digest(request.request().body())))
        .isPresent();
  }

  /**
   * The digest of a body. Cryptographic, so that a body that is crafted to look like another one is
   * not served its result.
   */
  static byte[] digest(byte[] body) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(body);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // each Java platform has it
    }
  }

  /** Enters an attempt, or extends its entry; an attempt that was started stays the owner. */
  void remember(InFlightRequest request, long untilUs) {
    IdempotencyKey key = IdempotencyKey.of(request);
    IdempotencyEntry entry = entries.get(key);
    if (entry == null || !entry.inForceAt(request.request().arrivedAtUs())) {
      if (entry != null) {
        evictResult(entry);
      }
      entry = new IdempotencyEntry(key, digest(request.request().body()), untilUs);
      entries.put(key, entry);
    }
    entry.makeOwnerUnlessStarted(request);
    entry.extend(untilUs);
  }

  /** An attempt is about to run: its key stays in force until a time at least. */
  void startRun(InFlightRequest request, long untilUs) {
    remember(request, untilUs);
    entries.get(IdempotencyKey.of(request)).startRun();
  }

  /** Removes the entry of an attempt that was not started. */
  void forget(InFlightRequest request) {
    IdempotencyEntry entry = entries.get(IdempotencyKey.of(request));
    if (entry != null && entry.ownedBy(request) && !entry.runStarted()) {
      entries.remove(entry.key);
    }
  }

  /** A peer process runs the request: attempts here wait for its result. */
  IdempotencyEntry rememberPeerRun(InFlightRequest request, IdempotencyClaims.OwnedByPeer claim) {
    IdempotencyEntry entry = IdempotencyEntry.ofPeer(IdempotencyKey.of(request), claim);
    IdempotencyEntry replaced = entries.put(entry.key, entry);
    if (replaced != null) {
      entry.addWaitingFrom(replaced);
      evictResult(replaced);
    }
    return entry;
  }

  /** The keys that peer processes run and whose end is not known here. */
  List<IdempotencyEntry> pendingPeerRuns() {
    return entries.values().stream()
        .filter(entry -> entry.runsOnPeerProcess() && !entry.runEnded())
        .toList();
  }

  /** The run of a peer process never executed. Returns the attempts that waited for it. */
  List<InFlightRequest> removePeerRun(IdempotencyEntry entry) {
    entries.remove(entry.key);
    return endRun(entry, Optional.empty());
  }

  /** The run of an attempt has ended. Returns the attempts that waited for it. */
  List<InFlightRequest> endRun(InFlightRequest request, Optional<byte[]> result) {
    return ownEntry(request).map(entry -> endRun(entry, result)).orElse(List.of());
  }

  /** The run of an entry has ended. Returns the attempts that waited for it. */
  List<InFlightRequest> endRun(IdempotencyEntry entry, Optional<byte[]> result) {
    entry.endRun(result);
    if (result.isPresent()) {
      cacheResult(entry);
    }
    return entry.takeWaiting();
  }

  /** The entry whose run was executed here, by this id, and has ended without a result. */
  Optional<IdempotencyEntry> endedWithoutResult(String runId) {
    return entries.values().stream()
        .filter(entry -> entry.hasLocalRun(runId) && entry.runEnded() && entry.result().isEmpty())
        .findAny();
  }

  /** The run of an attempt never executed. Returns the attempts that waited for it. */
  List<InFlightRequest> removeRun(InFlightRequest request) {
    Optional<IdempotencyEntry> own = ownEntry(request);
    own.ifPresent(entry -> entries.remove(entry.key));
    return own.map(IdempotencyEntry::takeWaiting).orElse(List.of());
  }

  private Optional<IdempotencyEntry> ownEntry(InFlightRequest request) {
    return Optional.ofNullable(entries.get(IdempotencyKey.of(request)))
        .filter(entry -> entry.ownedBy(request));
  }

  /** Removes the entries that no attempt can need any longer. */
  void expire(long nowUs) {
    Iterator<IdempotencyEntry> each = entries.values().iterator();
    while (each.hasNext()) {
      IdempotencyEntry entry = each.next();
      if (nowUs > entry.expiresUs() + retentionUs && !entry.hasWaiting()) {
        each.remove();
        evictResult(entry);
      }
    }
  }

  private void cacheResult(IdempotencyEntry entry) {
    results.add(entry);
    resultBytes += entry.resultBytes();
    while (resultBytes > maxResultBytes) {
      release(results.remove());
    }
  }

  private void evictResult(IdempotencyEntry entry) {
    if (results.remove(entry)) {
      release(entry);
    }
  }

  private void release(IdempotencyEntry entry) {
    resultBytes -= entry.resultBytes();
    entry.dropResult();
  }
}
