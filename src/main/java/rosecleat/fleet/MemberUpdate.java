package rosecleat.fleet;

/**
 * A member's state as a message reports it, with all fields validated.
 *
 * @param witness for a suspicion, the hash of the member whose probe failed; otherwise 0
 */
record MemberUpdate(
    MemberId id,
    Endpoint endpoint,
    String zone,
    MemberState state,
    long incarnation,
    long witness) {
  /** The way by which an update arrived. */
  enum Source {
    /** In a datagram, as one of a few recent updates. */
    GOSSIP,
    /** In a push/pull synchronization, as part of the other member's complete list. */
    SYNC
  }
}
