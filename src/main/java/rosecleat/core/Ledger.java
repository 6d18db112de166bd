package rosecleat.core;

/**
 * What runs call below: one dependency shared by all nodes. Outcomes are told to {@link
 * Core#called}.
 */
public interface Ledger {
  /** How a call ended. */
  enum End {
    /** It worked. */
    HIT,
    /** It was turned away: it never ran. */
    SHED,
    /** It failed, and may have had its effect. */
    BROKEN,
    /** It ran out of time, and may have had its effect. */
    SLOW,
    /** Nothing was reached: it never ran. */
    UNREACHED,
    /** It was cut off after it had been sent. */
    CUT
  }

  /** Makes a call for a request, to be given up at a time by the Unix clock in microseconds. */
  void call(String id, long untilUs, byte[] body);

  /** Gives up the call of a request; nothing more is told of it. */
  void cancel(String id);
}
