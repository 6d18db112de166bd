package rosecleat.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * The state that is held of one member. The state, incarnation and endpoint change only within
 * {@link MemberList#change}, which keeps the digests right.
 */
final class Member {
  private static final int MAX_WITNESSES = 4 * Tuning.SUSPICION_CONFIRMATIONS;

  /** A time before all others, with room to subtract from it. */
  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  final MemberId id;
  final long hash;
  Endpoint endpoint;
  String zone;
  MemberState state;
  long incarnation;

  /** Since when it is in its state. */
  long stateSinceUs;

  /** When something last came from the member itself. */
  long lastMessageUs = LONG_AGO;

  /** The hashes of the members whose probes of it failed, while it is suspected. */
  Set<Long> witnesses = Set.of();

  /** When its suspicion began, shifted by the time that this process was paused since. */
  long suspicionStartUs;

  /** The digest of its view that it reported last, and when. */
  long reportedDigest;

  long reportedUs = LONG_AGO;

  Member(
      MemberId id,
      Endpoint endpoint,
      String zone,
      MemberState state,
      long incarnation,
      long nowUs) {
    this.id = id;
    this.hash = id.hash();
    this.endpoint = endpoint;
    this.zone = zone;
    this.state = state;
    this.incarnation = incarnation;
    this.stateSinceUs = nowUs;
  }

  /** Adds a witness of the suspicion; false where it is known, or there are enough. */
  boolean addWitness(long witness) {
    if (witnesses.isEmpty()) {
      witnesses = new HashSet<>();
    }
    return witnesses.size() < MAX_WITNESSES && witnesses.add(witness);
  }

  void clearWitnesses() {
    witnesses = Set.of();
  }

  /** Its part of the digest of the active members. */
  long viewDigestPart() {
    return state.isActive() ? Hash.mix(hash ^ endpoint.hashCode()) : 0;
  }

  /** Its part of the digest of all that is held of the active members. */
  long syncDigestPart() {
    return state.isActive() ? Hash.mix(hash + 31 * incarnation + 7919L * state.wireValue()) : 0;
  }
}
