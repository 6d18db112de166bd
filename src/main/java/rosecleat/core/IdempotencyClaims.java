package rosecleat.core;

/**
 * Claims on idempotency keys, shared by the processes of one node: the process that claims a key
 * first runs the request, and the others reuse its result. Keys are arbitrary text; all times are
 * in Unix microseconds. Not thread-safe.
 */
public interface IdempotencyClaims {
  /** Claims for a node with a single process, which owns every key. */
  IdempotencyClaims SINGLE_PROCESS = new SingleProcessClaims();

  /** Which process, if any, has claimed a key. */
  sealed interface ClaimStatus {}

  /** No process has claimed the key. */
  record Unclaimed() implements ClaimStatus {}

  /** This process has claimed the key. */
  record Owned() implements ClaimStatus {}

  /**
   * A peer process has claimed the key until {@code untilUs}, for a body with this digest.
   *
   * @param byAlias whether the key is an alias of the key that the peer has claimed
   */
  record OwnedByPeer(byte[] digest, long untilUs, boolean byAlias) implements ClaimStatus {}

  /** The state of a run that a peer process claimed. */
  sealed interface PeerRun {}

  /** The peer's run has not ended. */
  record Pending() implements PeerRun {}

  /** The peer's run has completed with a result. */
  record Completed(byte[] result) implements PeerRun {}

  /** The peer's run may have executed, but no result will follow. */
  record NoResult() implements PeerRun {}

  /** The peer's run never executed, and the key is unclaimed again. */
  record NeverRan() implements PeerRun {}

  /** Returns which process, if any, has claimed a key. */
  ClaimStatus status(String key);

  /** Returns whether peer processes, or dead ones, may have claims. */
  boolean peersMayHaveClaims();

  /**
   * Claims a key for a run, which may start only if this returns {@link Owned}. {@link Unclaimed}
   * means that the key can't be claimed at the moment.
   */
  ClaimStatus claim(String key, byte[] digest, long untilUs);

  /**
   * Makes a key that this process has claimed known under an alias as well, unless the alias is
   * taken. The alias ends with the claim.
   *
   * @param digest the digest that peers compare which find the claim under the alias
   */
  void addAlias(String key, String alias, byte[] digest);

  /** Publishes the result of the run of a key that this process claimed. */
  void completed(String key, byte[] result);

  /** Publishes that the run of a key that this process claimed has ended without a result. */
  void endedWithoutResult(String key);

  /** Releases a key that this process claimed, because its run is known never to have executed. */
  void neverRan(String key);

  /** Returns the state of the run of a key that a peer process claimed. */
  PeerRun peerRun(String key);
}
