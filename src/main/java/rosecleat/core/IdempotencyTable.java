package rosecleat.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The idempotent requests whose window has not ended, with the results of their runs. Results are
 * cached byte for byte, and their total size is bounded: if a result was evicted, later attempts
 * fail rather than run again. For the core's thread.
 */
final class IdempotencyTable {
  private final long maxResultBytes;
  private final Set<IdempotencyEntry> entries = new LinkedHashSet<>();

  /** The entries by each of their names; those with the same name in the order of creation. */
  private final Map<String, List<IdempotencyEntry>> entriesByName = new HashMap<>();

  /** Entries with a result, oldest first. */
  private final ArrayDeque<IdempotencyEntry> results = new ArrayDeque<>();

  private long resultBytes;
  private long retentionUs;
  private long maxWindowUs;
  private long windowSlackUs;

  /** Creates an empty table that caches at most {@code maxResultBytes} of results. */
  IdempotencyTable(long maxResultBytes) {
    this.maxResultBytes = maxResultBytes;
  }

  /**
   * Sets how long entries are retained after they expire, in microseconds. Attempts that arrived in
   * time may be read long afterwards.
   */
  void retainExpired(long durationUs) {
    retentionUs = durationUs;
  }

  /**
   * Sets the windows in force, in microseconds.
   *
   * @param longestUs the longest window of any class
   * @param slackUs how much longer than its class's window a request is remembered
   */
  void setWindows(long longestUs, long slackUs) {
    maxWindowUs = longestUs + slackUs;
    windowSlackUs = slackUs;
  }

  /** Returns the number of entries. */
  int size() {
    return entries.size();
  }

  /** Returns the entry that was in force when the request arrived at this machine. */
  Optional<IdempotencyEntry> find(InFlightRequest request) {
    return find(request.request(), request.requestClass());
  }

  /**
   * Returns the entry of an attempt's request that was in force when the attempt arrived. Where
   * several entries match, because an attempt leaves its tenant open, one with the same content is
   * preferred.
   */
  Optional<IdempotencyEntry> find(Request request, RequestClass requestClass) {
    RequestIdentity attempt = request.identity().orElseThrow();
    long windowUs = requestClass.idempotencyWindowUs() + windowSlackUs;
    List<IdempotencyEntry> found = new ArrayList<>();
    for (String name : attempt.searchedNames()) {
      for (IdempotencyEntry entry : named(name)) {
        if (entry.inForceAt(request.arrivedAtUs(), windowUs) && entry.matches(attempt, name)) {
          found.add(entry);
        }
      }
    }
    return found.stream()
        .filter(entry -> entry.hasContentOf(attempt))
        .findFirst()
        .or(() -> found.stream().findFirst());
  }

  /** Returns the sequence number of the attempt that this one repeats; 0 for a new request. */
  long originalSequence(InFlightRequest request) {
    return find(request).map(IdempotencyEntry::originalSequence).orElse(0L);
  }

  /** Returns whether an earlier attempt of the same request had a different content. */
  boolean conflicts(InFlightRequest request) {
    return find(request).filter(entry -> !entry.hasContentOf(request.identity())).isPresent();
  }

  /**
   * Remembers the request of an attempt at least until a time, in Unix microseconds. The attempt
   * becomes the owner of its run, unless the run of an earlier owner has started.
   */
  IdempotencyEntry remember(InFlightRequest request, long untilUs) {
    IdempotencyEntry entry =
        find(request).orElseGet(() -> add(IdempotencyEntry.of(request.identity(), untilUs)));
    addNames(entry, request.identity().recordedNames());
    entry.makeOwnerUnlessStarted(request);
    entry.extend(untilUs);
    return entry;
  }

  /**
   * Marks the run of an attempt as started and remembers its request at least until a time, in Unix
   * microseconds.
   */
  void startRun(InFlightRequest request, long untilUs) {
    remember(request, untilUs).startRun();
  }

  private IdempotencyEntry add(IdempotencyEntry entry) {
    entries.add(entry);
    return entry;
  }

  private void addNames(IdempotencyEntry entry, List<String> names) {
    for (String name : names) {
      if (entry.names().add(name)) {
        entriesByName.computeIfAbsent(name, absent -> new ArrayList<>(1)).add(entry);
      }
    }
  }

  private void remove(IdempotencyEntry entry) {
    entries.remove(entry);
    for (String name : entry.names()) {
      entriesByName.computeIfPresent(
          name,
          (same, named) -> {
            named.remove(entry);
            return named.isEmpty() ? null : named;
          });
    }
    evictResult(entry);
  }

  /** Removes the entry that an attempt owns, unless its run was started. */
  void forget(InFlightRequest request) {
    ownEntry(request).filter(entry -> !entry.runStarted()).ifPresent(this::remove);
  }

  /**
   * Records that a peer process runs the request of an attempt. Attempts that wait for a run of
   * this process which has not started then wait for the peer's result.
   */
  IdempotencyEntry rememberPeerRun(RequestIdentity attempt, PeerClaim peer) {
    IdempotencyEntry entry = add(IdempotencyEntry.ofPeer(attempt, peer));
    for (IdempotencyEntry replaced : List.copyOf(named(attempt.primaryName()))) {
      if (!replaced.runStarted()) {
        entry.addWaitingFrom(replaced);
        remove(replaced);
      }
    }
    addNames(entry, List.of(attempt.primaryName(), peer.name()));
    return entry;
  }

  private List<IdempotencyEntry> named(String name) {
    return entriesByName.getOrDefault(name, List.of());
  }

  /** Returns the entries of runs by peer processes that are not known to have ended. */
  List<IdempotencyEntry> pendingPeerRuns() {
    return entries.stream()
        .filter(entry -> entry.runsOnPeerProcess() && !entry.runEnded())
        .toList();
  }

  /**
   * Removes the entry of a peer process's run that never executed.
   *
   * @return the attempts that waited for the run
   */
  List<InFlightRequest> removePeerRun(IdempotencyEntry entry) {
    remove(entry);
    return endRun(entry, Optional.empty());
  }

  /**
   * Ends the run that an attempt owns.
   *
   * @return the attempts that waited for the run
   */
  List<InFlightRequest> endRun(InFlightRequest request, Optional<byte[]> result) {
    return ownEntry(request).map(entry -> endRun(entry, result)).orElse(List.of());
  }

  /**
   * Ends the run of an entry and caches its result, if any.
   *
   * @return the attempts that waited for the run
   */
  List<InFlightRequest> endRun(IdempotencyEntry entry, Optional<byte[]> result) {
    entry.endRun(result);
    if (result.isPresent()) {
      cacheResult(entry);
    }
    return entry.takeWaiting();
  }

  /**
   * Returns the entry whose run this process started under this id and that ended without a result.
   */
  Optional<IdempotencyEntry> endedWithoutResult(String runId) {
    return entries.stream()
        .filter(entry -> entry.hasLocalRun(runId) && entry.runEnded() && entry.result().isEmpty())
        .findAny();
  }

  /**
   * Removes the entry that an attempt owns, because its run never executed.
   *
   * @return the attempts that waited for the run
   */
  List<InFlightRequest> removeRun(InFlightRequest request) {
    Optional<IdempotencyEntry> own = ownEntry(request);
    own.ifPresent(this::remove);
    return own.map(IdempotencyEntry::takeWaiting).orElse(List.of());
  }

  private Optional<IdempotencyEntry> ownEntry(InFlightRequest request) {
    return named(request.identity().primaryName()).stream()
        .filter(entry -> entry.ownedBy(request))
        .findAny();
  }

  /** Removes the entries that no attempt can need any longer. */
  void expire(long nowUs) {
    entries.stream()
        .filter(entry -> nowUs > entry.expiresUs(maxWindowUs) + retentionUs && !entry.hasWaiting())
        .toList()
        .forEach(this::remove);
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
