package rosecleat.fleet;

/** An outstanding ping. All times are by this process's clock. */
final class Probe {
  /** The purpose of a probe. */
  enum Purpose {
    /** The regular probe of a period, followed by indirect probes if there is no direct answer. */
    DETECTION,
    /** A probe of a member that another one suspects, to confirm the suspicion. */
    CONFIRMATION,
    /** A probe of a member that another one declared dead, made before the death is accepted. */
    VERIFICATION,
    /** An indirect probe on behalf of another member. */
    RELAY
  }

  /**
   * The member to which the result of a relayed probe is sent, and the sequence number that it
   * gave.
   */
  record Requester(Endpoint endpoint, int sequence) {}

  final int sequence;
  final Member target;
  final Purpose purpose;

  /** The requester of a {@link Purpose#RELAY}; null for any other purpose. */
  final Requester requester;

  /**
   * The time at which the direct answer is overdue; {@link ProtocolContext#NEVER} once that is
   * handled.
   */
  long directTimeoutUs;

  /** The time at which the probe fails. */
  long endUs;

  /**
   * The members that were asked for an indirect probe, and those of them that answered with a nack.
   */
  int relaysAsked;

  int nacks;

  Probe(
      int sequence,
      Member target,
      Purpose purpose,
      Requester requester,
      long directTimeoutUs,
      long endUs) {
    this.sequence = sequence;
    this.target = target;
    this.purpose = purpose;
    this.requester = requester;
    this.directTimeoutUs = directTimeoutUs;
    this.endUs = endUs;
  }

  /** Returns the earliest pending timeout of this probe. */
  long nextTimeoutUs() {
    return Math.min(directTimeoutUs, endUs);
  }
}
