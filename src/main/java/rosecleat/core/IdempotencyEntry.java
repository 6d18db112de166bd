package rosecleat.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The state of one idempotent request: which attempt owns its run, the run's result, and which
 * attempts wait for that result. Only {@link IdempotencyTable} creates and removes entries.
 */
final class IdempotencyEntry {
  private static final long RUNS_ON_PEER_PROCESS = Long.MAX_VALUE;
  private static final byte[] UNKNOWN_DIGEST = {};

  private final Set<String> names = new LinkedHashSet<>();
  private final boolean resolved;
  private final byte[] contentDigest;
  private final byte[] payloadDigest;
  private String claimName;

  /**
   * The attempt whose run this is; null for a run of a peer process, and once the run has ended.
   */
  private InFlightRequest owner;

  /** The sequence number of the owner; 0 for a run of a peer process. */
  private long ownerSequence;

  /** The id of the owner; empty for a run of a peer process. */
  private String ownerId = "";

  private long expiresUs;
  private long countedFromUs;
  private boolean runStarted;
  private boolean runEnded;
  private byte[] result;
  private List<InFlightRequest> waiting = new ArrayList<>();

  private IdempotencyEntry(
      String claimName,
      boolean resolved,
      byte[] contentDigest,
      byte[] payloadDigest,
      long expiresUs) {
    this.claimName = claimName;
    this.resolved = resolved;
    this.contentDigest = contentDigest;
    this.payloadDigest = payloadDigest;
    this.expiresUs = expiresUs;
  }

  /** Creates an entry without an owner for the request of an attempt in this process. */
  static IdempotencyEntry of(RequestIdentity identity, long expiresUs) {
    return new IdempotencyEntry(
        identity.primaryName(),
        identity.resolved(),
        identity.contentDigest(),
        identity.payloadDigest(),
        expiresUs);
  }

  /**
   * Creates an entry for a run that a peer process executes.
   *
   * @param identity the attempt that found the claim
   */
  static IdempotencyEntry ofPeer(RequestIdentity identity, PeerClaim peer) {
    byte[] digest = peer.claim().digest();
    boolean bySameTeam = identity.resolved() && peer.name().equals(identity.primaryName());
    IdempotencyEntry entry =
        new IdempotencyEntry(
            peer.name(),
            bySameTeam,
            bySameTeam ? digest : UNKNOWN_DIGEST,
            bySameTeam ? UNKNOWN_DIGEST : digest,
            peer.claim().untilUs());
    entry.runStarted = true;
    entry.runEnded = !peer.certain(); // the result may be that of another request
    return entry;
  }

  /** Returns the names under which the entry is found. */
  Set<String> names() {
    return names;
  }

  /** Returns the name under which this process or a peer has claimed the run. */
  String claimName() {
    return claimName;
  }

  /** Returns whether an attempt that searches a name of this entry repeats its request. */
  boolean matches(RequestIdentity attempt, String name) {
    return attempt.matchesUnder(name, resolved);
  }

  /** Returns whether an attempt of the request has the content that the request had before. */
  boolean hasContentOf(RequestIdentity attempt) {
    boolean bothResolved = resolved && attempt.resolved();
    return bothResolved
        ? Arrays.equals(contentDigest, attempt.contentDigest())
        : Arrays.equals(payloadDigest, attempt.payloadDigest());
  }

  /**
   * Returns whether the request is remembered for an attempt that arrived at a time. The window may
   * have been lengthened since the run was started.
   *
   * @param windowUs the window in force now, in microseconds
   */
  boolean inForceAt(long arrivedAtUs, long windowUs) {
    return arrivedAtUs <= expiresUs(windowUs);
  }

  /**
   * Returns when the request is no longer remembered, in Unix microseconds, if the window in force
   * is {@code windowUs}.
   */
  long expiresUs(long windowUs) {
    boolean ranHere = runStarted && !runsOnPeerProcess();
    return ranHere ? Math.max(expiresUs, countedFromUs + windowUs) : expiresUs;
  }

  /** Remembers the request at least until a time, in Unix microseconds. */
  void extend(long untilUs) {
    expiresUs = Math.max(expiresUs, untilUs);
  }

  /** Makes an attempt the owner of the run, unless the run of an earlier owner has started. */
  void makeOwnerUnlessStarted(InFlightRequest attempt) {
    if (!runStarted) {
      owner = attempt;
      ownerSequence = attempt.sequence();
      ownerId = attempt.id();
      claimName = attempt.identity().primaryName();
    }
  }

  /** Returns whether an attempt owns the run: it was started, or is to be started, for it. */
  boolean ownedBy(InFlightRequest attempt) {
    return ownerSequence == attempt.sequence();
  }

  /** Returns whether this process started the run under this id. */
  boolean hasLocalRun(String runId) {
    return runStarted && ownerId.equals(runId);
  }

  /** Returns whether a peer process executes the run. */
  boolean runsOnPeerProcess() {
    return ownerSequence == 0;
  }

  /**
   * Returns the sequence number of the attempt that later attempts repeat. Returns 0 if the owner
   * left the queue without being started: later attempts are then new requests. Returns {@link
   * #RUNS_ON_PEER_PROCESS}, which is never a sequence number, if a peer process executes the run.
   */
  long originalSequence() {
    if (runsOnPeerProcess()) {
      return RUNS_ON_PEER_PROCESS;
    }
    return runStarted || owner.is(RequestState.QUEUED) ? ownerSequence : 0;
  }

  /** Marks the owner's run as started. The window is counted from the owner's arrival. */
  void startRun() {
    runStarted = true;
    if (owner != null) { // else the run is started again after it was cancelled
      countedFromUs = owner.request().arrivedAtUs();
    }
  }

  /** Returns whether the run was started. */
  boolean runStarted() {
    return runStarted;
  }

  /** Returns whether the run has ended. */
  boolean runEnded() {
    return runEnded;
  }

  /**
   * Marks the run as ended, with or without a result. The owner is not kept: it refers to its body
   * and to the connection of its caller, which would stay in memory for the whole window.
   */
  void endRun(Optional<byte[]> output) {
    runEnded = true;
    owner = null;
    output.ifPresent(bytes -> result = bytes);
  }

  /**
   * Returns the result; empty before the run has ended, without a result, or after its eviction.
   */
  Optional<byte[]> result() {
    return Optional.ofNullable(result);
  }

  /** Returns the size of the result in bytes; 0 without a result. */
  int resultBytes() {
    return result == null ? 0 : result.length;
  }

  /** Discards the result: later attempts fail rather than run again. */
  void dropResult() {
    result = null;
  }

  /** Adds an attempt that waits for the end of the run. */
  void addWaiting(InFlightRequest attempt) {
    waiting.add(attempt);
  }

  /** Adds the attempts that wait for the run of the entry that this one replaces. */
  void addWaitingFrom(IdempotencyEntry replaced) {
    waiting.addAll(replaced.waiting);
  }

  /** Returns whether any attempt waits for the end of the run. */
  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** Removes and returns the attempts that wait for the end of the run. */
  List<InFlightRequest> takeWaiting() {
    List<InFlightRequest> taken = waiting;
    waiting = new ArrayList<>();
    return taken;
  }
}
