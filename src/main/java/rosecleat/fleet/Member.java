package rosecleat.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * The state of one member as this process has it. State, incarnation and endpoint change only
 * within {@link MemberList#change}, which updates the digests.
 */
final class Member {
  private static final int MAX_WITNESSES = 4 * Tuning.SUSPICION_CONFIRMATIONS;

  /** A time before all others; half of the range leaves room to subtract without overflow. */
  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  final MemberId id;
  final long hash;
  Endpoint endpoint;
  String zone;
  MemberState state;
  long incarnation;

  /** The time at which the member entered its current state. */
  long stateSinceUs;

  /** The time at which the latest message from the member itself arrived. */
  long lastMessageUs = LONG_AGO;

  /**
   * The witnesses of the suspicion: hashes of the members whose probes of this member failed; empty
   * unless it is suspected.
   */
  Set<Long> witnesses = Set.of();

  /**
   * The time at which the suspicion began, plus the time for which this process has been paused
   * since.
   */
  long suspicionStartUs;

  /** The digest of the member's view that it reported last, and the time of that report. */
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

  /**
   * Adds a witness of the suspicion; returns false if the witness is already recorded or the
   * maximum is reached.
   */
  boolean addWitness(long witness) {
    if (witnesses.isEmpty()) {
      witnesses = new HashSet<>();
    }
    return witnesses.size() < MAX_WITNESSES && witnesses.add(witness);
  }

  void clearWitnesses() {
    witnesses = Set.of();
  }

  /** Returns this member's part of the digest of the active members. */
  long viewDigestPart() {
    return state.isActive() ? Hash.mix(hash ^ endpoint.hashCode()) : 0;
  }

  /**
   * Returns this member's part of the digest of the active members with their incarnations and
   * states.
   */
  long syncDigestPart() {
    return state.isActive() ? Hash.mix(hash + 31 * incarnation + 7919L * state.wireValue()) : 0;
  }
}
