package rosecleat.fleet;

/** An outstanding ping. All times are by this process's clock. */
final class Probe {
  /** What a probe is for. */
  enum Purpose {
    /** The regular probe of a period, with indirect probes where there is no direct answer. */
    DETECTION,
    /** A probe of a member that another one suspects, to confirm the suspicion. */
    CONFIRMATION,
    /** A probe of a member that another one declared dead, before that is believed. */
    VERIFICATION,
    /** An indirect probe on behalf of another member. */
    RELAY
  }

  /** Where the result of a relayed probe goes, and under which number. */
  record Requester(Endpoint endpoint, int sequence) {}

  final int sequence;
  final Member target;
  final Purpose purpose;

  /** Who asked for a {@link Purpose#RELAY}; null for any other purpose. */
  final Requester requester;

  /** When the direct answer is overdue; {@link ProtocolContext#NEVER} once that is handled. */
  long directTimeoutUs;

  /** When the probe has failed. */
  long endUs;

  /** Members that were asked for an indirect probe, and those of them that answered nack. */
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

  /** When this probe needs attention next. */
  long nextTimeoutUs() {
    return Math.min(directTimeoutUs, endUs);
  }
}
