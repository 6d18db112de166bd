package rosecleat.fleet;

/**
 * The protocol's constants, in periods unless stated otherwise. Sources: SWIM (Das, Gupta, Motivala
 * 2002) for probes and dissemination, Lifeguard (Dadgar, Phillips, Currey 2017) for local health
 * and suspicion.
 *
 * @param periodUs the protocol period: the interval between two regular probes of each kind (us)
 * @param localHealth whether a process that is slow itself extends its timeouts; disabled only to
 *     measure the effect
 */
public record Tuning(long periodUs, boolean localHealth) {
  /** The number of members asked for an indirect probe if no direct answer arrived. */
  static final int INDIRECT_PROBES = 3;

  /** The part of a period after which indirect probes are requested if no direct answer arrived. */
  static final double DIRECT_TIMEOUT_PERIODS = 0.4;

  /** Gossip rounds per period while updates are queued. */
  static final int GOSSIP_ROUNDS_PER_PERIOD = 5;

  /**
   * Members that one gossip round sends to: the usual number, and the maximum if many updates are
   * queued.
   */
  static final int GOSSIP_FANOUT = 3;

  static final int MAX_GOSSIP_FANOUT = 8;

  /** The worst local health score (Lifeguard's S). */
  static final int MAX_LOCAL_HEALTH = 8;

  /**
   * The number of further witnesses that reduces a suspicion to its shortest timeout (Lifeguard's
   * K).
   */
  static final int SUSPICION_CONFIRMATIONS = 3;

  /** The number of members that probe a suspected member themselves. */
  static final int CONFIRMING_MEMBERS = 5;

  /** The ratio of the timeout of a suspicion without further witnesses to the shortest timeout. */
  static final int MAX_SUSPICION_FACTOR = 3;

  /** Periods between two regular synchronizations. */
  static final int SYNC_INTERVAL_PERIODS = 20;

  /** Periods for which dead members, and members that left, are retained. */
  static final int DEAD_RETENTION_PERIODS = 900;

  static final int LEFT_RETENTION_PERIODS = 120;

  /** The maximum number of members, including the dead ones and those that left. */
  static final int MAX_MEMBERS = 4_096;

  /**
   * The maximum size of a datagram without network headers (bytes); larger ones could be
   * fragmented.
   */
  static final int MAX_DATAGRAM_BYTES = 1_340;

  /**
   * The largest payload of a record that gossip carries (bytes); larger records are replicated by
   * syncs only.
   */
  static final int MAX_GOSSIP_RECORD_BYTES = 900;

  /** The largest payload of a record (bytes). */
  static final int MAX_RECORD_BYTES = 64 << 10;

  /**
   * The shortest suspicion timeout for a single member in periods; ten times the members add one
   * period.
   */
  private static final int BASE_SUSPICION_PERIODS = 3;

  /** Transmissions of an update per doubling of the number of members. */
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  /** Returns the usual constants with a period (us). */
  public static Tuning of(long periodUs) {
    return new Tuning(periodUs, true);
  }

  /**
   * Returns the shortest suspicion timeout for a number of members (us): within it, the suspicion
   * must reach the suspected member and the refutation must return.
   */
  long suspicionUs(int members) {
    return (long) (periodUs * (BASE_SUSPICION_PERIODS + Math.log10(Math.max(1, members))));
  }

  /** Returns how many times each member transmits an update. */
  static int transmissions(int members) {
    return TRANSMISSIONS_PER_DOUBLING * (32 - Integer.numberOfLeadingZeros(members + 1));
  }
}
