package rosecleat.fleet;

import java.util.HashSet;
import java.util.Set;

/** What is held of one member. */
final class Member {
  final MemberId id;
  final long hash;
  Endpoint at;
  String zone;
  MemberState state;
  long incarnation;

  /** Since when it stands so; and when something last came from itself. */
  long sinceUs;

  long heardUs = Long.MIN_VALUE / 2;

  /** Who had no answer from it, where it is suspected. */
  Set<Long> witnesses;

  /** When a suspicion becomes certain without further witnesses, by this process's own clock. */
  long suspectedUs;

  /** The digest that it told last, and when. */
  long toldDigest;

  long toldUs = Long.MIN_VALUE / 2;

  Member(MemberId id, Endpoint at, String zone, MemberState state, long incarnation, long nowUs) {
    this.id = id;
    this.hash = id.hash();
    this.at = at;
    this.zone = zone;
    this.state = state;
    this.incarnation = incarnation;
    this.sinceUs = nowUs;
  }

  /** Adds a witness of the suspicion; false where it is known. */
  boolean witness(long who) {
    if (witnesses == null) {
      witnesses = new HashSet<>();
    }
    return witnesses.size() < 4 * Tuning.WITNESSES && witnesses.add(who);
  }

  /** Its part of the digest of those that are there. */
  long part() {
    return state.isActive() ? Hash.mix(hash ^ at.hashCode()) : 0;
  }

  /** Its part of the digest of all that is held. */
  long syncPart() {
    return state.isActive() ? Hash.mix(hash + 31 * incarnation + 7919L * state.ordinal()) : 0;
  }
}
