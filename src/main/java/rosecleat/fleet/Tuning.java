package rosecleat.fleet;

/**
 * The detector's figures, each in periods unless it says otherwise. Sources: SWIM (Das, Gupta,
 * Motivala 2002) for probes and rumours, Lifeguard (Dadgar, Phillips, Currey 2017) for local health
 * and suspicion.
 *
 * @param periodUs one probe of each kind is begun so often (us)
 * @param localHealth whether a process that is slow itself waits longer; off only to measure what
 *     it is worth
 */
public record Tuning(long periodUs, boolean localHealth) {
  /** Those asked to ping where no answer came. */
  static final int RELAYS = 3;

  /** An answer to a ping must come within this part of a period, or others are asked. */
  static final double DIRECT = 0.4;

  /**
   * DisseminationQueue travel so often in a period, to so many at a time; to more where many wait.
   */
  static final int GOSSIPS = 5;

  static final int FANOUT = 3;
  static final int MOST_FANOUT = 8;

  /** Who is worse off than this is taken no further (Lifeguard's S). */
  static final int WORST_HEALTH = 8;

  /** Independent witnesses that bring a suspicion to its shortest time. */
  static final int WITNESSES = 3;

  /** MemberList that look for themselves when somebody is suspected. */
  static final int WATCHERS = 5;

  /** Without witnesses a suspicion lasts so many times as long. */
  static final int MOST_SUSPICION = 3;

  /** Periods between exchanges where nothing asks for one. */
  static final int EXCHANGE_EVERY = 20;

  /** Dead ones are remembered and tried for so long; those that left for less. */
  static final int REMEMBER_DEAD = 900;

  static final int REMEMBER_LEFT = 120;

  /** MemberList at the most, dead ones with them. */
  static final int MOST_MEMBERS = 4_096;

  /**
   * A datagram's bytes, headers of the network not counted: it must not be cut into pieces on the
   * way.
   */
  static final int DATAGRAM = 1_340;

  /**
   * A record that is longer does not travel as a rumour (bytes); one that is longer than the second
   * not at all.
   */
  static final int RUMOUR_BYTES = 900;

  static final int RECORD_BYTES = 64 << 10;

  /** Usual figures. */
  public static Tuning of(long periodUs) {
    return new Tuning(periodUs, true);
  }

  /**
   * The shortest time of a suspicion among so many members (us): it must reach the suspected one,
   * and its word come back.
   */
  long suspicionUs(int members) {
    return (long) (periodUs * (3 + Math.log10(Math.max(1, members))));
  }

  /** Each rumour is passed on so often by each process. */
  static int retransmits(int members) {
    return 3 * (32 - Integer.numberOfLeadingZeros(members + 1));
  }
}
