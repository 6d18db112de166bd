package rosecleat.facts;

/**
 * Why a fact is rejected. The names of the constants appear in counters and in the log, which
 * operators' tools read, and must not change.
 */
public enum RejectionReason {
  /** The fact was learned by another node. */
  OTHER_NODE,
  /** The fact's class or tenant is no longer configured. */
  GONE,
  /** The fact was learned under different settings of its class, tenant or server. */
  OTHER_TERMS,
  /** The time at which the fact was learned is in the future or before the Unix epoch. */
  FUTURE,
  /** The value is out of range, or the weight is not positive. */
  RANGE,
  /** The value or the weight is infinite or NaN. */
  NOT_FINITE,
  /** The fact is so old that its weight has decayed below the minimum. */
  AGED
}
