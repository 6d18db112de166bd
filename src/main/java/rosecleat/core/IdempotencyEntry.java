package rosecleat.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What is known of one idempotency key: which attempt ran, what its result is, and which attempts
 * wait for it. Owned by {@link IdempotencyTable}.
 */
final class IdempotencyEntry {
  private static final long RUNS_ON_PEER_PROCESS = Long.MAX_VALUE;

  final IdempotencyKey key;
  final byte[] bodyDigest;
  private InFlightRequest owner;
  private long expiresUs;
  private boolean runStarted;
  private boolean runEnded;
  private byte[] result;
  private List<InFlightRequest> waiting = new ArrayList<>();

  /** An entry that nobody owns yet. */
  IdempotencyEntry(IdempotencyKey key, byte[] bodyDigest, long expiresUs) {
    this.key = key;
    this.bodyDigest = bodyDigest;
    this.expiresUs = expiresUs;
  }

  /** An entry for a run that a peer process executes. */
  static IdempotencyEntry ofPeer(IdempotencyKey key, IdempotencyClaims.OwnedByPeer claim) {
    IdempotencyEntry entry = new IdempotencyEntry(key, claim.digest(), claim.untilUs());
    entry.runStarted = true;
    return entry;
  }

  /** Whether the key is in force for an attempt that arrived at a time. */
  boolean inForceAt(long arrivedAtUs) {
    return arrivedAtUs <= expiresUs;
  }

  /** When the key expires, in Unix microseconds. */
  long expiresUs() {
    return expiresUs;
  }

  /** Keeps the key in force until a time at least. */
  void extend(long untilUs) {
    expiresUs = Math.max(expiresUs, untilUs);
  }

  /** Makes an attempt the one that is to run, unless another one was started before. */
  void makeOwnerUnlessStarted(InFlightRequest attempt) {
    if (!runStarted) {
      owner = attempt;
    }
  }

  /** Whether an attempt is the one that runs, or is to run. */
  boolean ownedBy(InFlightRequest attempt) {
    return owner == attempt;
  }

  /** Whether a run with this id was started here. */
  boolean hasLocalRun(String runId) {
    return runStarted && owner != null && owner.id().equals(runId);
  }

  /** Whether a peer process executes the run. */
  boolean runsOnPeerProcess() {
    return owner == null;
  }

  /**
   * The policy's number of the attempt that later ones repeat; 0 where they are new requests.
   * {@link #RUNS_ON_PEER_PROCESS}, which is no request's number, where a peer process runs it.
   */
  long originalSequence() {
    if (owner == null) {
      return RUNS_ON_PEER_PROCESS;
    }
    return runStarted || owner.is(RequestState.QUEUED) ? owner.sequence() : 0;
  }

  /** The owner's run is about to start. */
  void startRun() {
    runStarted = true;
  }

  /** Whether a run was started. */
  boolean runStarted() {
    return runStarted;
  }

  /** Whether the run has ended. */
  boolean runEnded() {
    return runEnded;
  }

  /** The run has ended, with or without a result. */
  void endRun(Optional<byte[]> output) {
    runEnded = true;
    output.ifPresent(bytes -> result = bytes);
  }

  /** The result; empty while there is none, or where there will be none. */
  Optional<byte[]> result() {
    return Optional.ofNullable(result);
  }

  /** How many bytes the result takes. */
  int resultBytes() {
    return result == null ? 0 : result.length;
  }

  /** Drops the result; later attempts fail. */
  void dropResult() {
    result = null;
  }

  /** Lets an attempt wait for the end of the run. */
  void addWaiting(InFlightRequest attempt) {
    waiting.add(attempt);
  }

  /** Takes over the attempts that wait for another entry of the same key. */
  void addWaitingFrom(IdempotencyEntry replaced) {
    waiting.addAll(replaced.waiting);
  }

  /** Whether any attempt waits for the end of the run. */
  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** Returns the attempts that wait for the end of the run; none wait from now on. */
  List<InFlightRequest> takeWaiting() {
    List<InFlightRequest> taken = waiting;
    waiting = new ArrayList<>();
    return taken;
  }
}
