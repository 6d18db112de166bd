package rosecleat.fleet;

/**
 * The protocol's constants, each in periods unless it says otherwise. Sources: SWIM (Das, Gupta,
 * Motivala 2002) for probes and dissemination, Lifeguard (Dadgar, Phillips, Currey 2017) for local
 * health and suspicion.
 *
 * @param periodUs the protocol period: one probe of each kind begins so often (us)
 * @param localHealth whether a process that is slow itself waits longer; off only to measure what
 *     it is worth
 */
public record Tuning(long periodUs, boolean localHealth) {
  /** Members asked for an indirect probe where no direct answer came. */
  static final int INDIRECT_PROBES = 3;

  /** A direct answer must come within this part of a period, or others are asked. */
  static final double DIRECT_TIMEOUT_PERIODS = 0.4;

  /** Gossip rounds in a period while updates are queued. */
  static final int GOSSIP_ROUNDS_PER_PERIOD = 5;

  /** Members told in a gossip round, and the most where many updates are queued. */
  static final int GOSSIP_FANOUT = 3;

  static final int MAX_GOSSIP_FANOUT = 8;

  /** The worst local health score (Lifeguard's S). */
  static final int MAX_LOCAL_HEALTH = 8;

  /** Further witnesses that bring a suspicion to its shortest timeout (Lifeguard's K). */
  static final int SUSPICION_CONFIRMATIONS = 3;

  /** Members that probe a suspected member themselves. */
  static final int CONFIRMING_MEMBERS = 5;

  /** A suspicion without further witnesses lasts so many times as long as the shortest. */
  static final int MAX_SUSPICION_FACTOR = 3;

  /** Periods between two regular synchronizations. */
  static final int SYNC_INTERVAL_PERIODS = 20;

  /** Periods that dead members are remembered, and those that left. */
  static final int DEAD_RETENTION_PERIODS = 900;

  static final int LEFT_RETENTION_PERIODS = 120;

  /** The most members, dead ones with them. */
  static final int MAX_MEMBERS = 4_096;

  /** Bytes of a datagram without the network's headers: it must not be fragmented. */
  static final int MAX_DATAGRAM_BYTES = 1_340;

  /** A record with a larger payload travels by sync alone, not by gossip (bytes). */
  static final int MAX_GOSSIP_RECORD_BYTES = 900;

  /** The largest payload of a record (bytes). */
  static final int MAX_RECORD_BYTES = 64 << 10;

  /** The shortest suspicion lasts so many periods, and one more for ten times the members. */
  private static final int BASE_SUSPICION_PERIODS = 3;

  /** An update is sent so many times for each doubling of the members. */
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  /** The usual constants with a period (us). */
  public static Tuning of(long periodUs) {
    return new Tuning(periodUs, true);
  }

  /**
   * The shortest timeout of a suspicion among so many members (us): it must reach the suspected
   * member, and its refutation come back.
   */
  long suspicionUs(int members) {
    return (long) (periodUs * (BASE_SUSPICION_PERIODS + Math.log10(Math.max(1, members))));
  }

  /** How often each member transmits an update. */
  static int transmissions(int members) {
    return TRANSMISSIONS_PER_DOUBLING * (32 - Integer.numberOfLeadingZeros(members + 1));
  }
}
