package rosecleat.fleet;

/**
 * What a message says of a member, with all fields within their bounds.
 *
 * @param witness of a suspicion: the hash of the member whose probe failed, otherwise 0
 */
record MemberUpdate(
    MemberId id,
    Endpoint endpoint,
    String zone,
    MemberState state,
    long incarnation,
    long witness) {
  /** How an update came. */
  enum Source {
    /** With a datagram, as one of a few recent updates. */
    GOSSIP,
    /** With a push/pull synchronization, as part of all that another member holds. */
    SYNC
  }
}
