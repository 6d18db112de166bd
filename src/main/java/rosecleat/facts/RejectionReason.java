package rosecleat.facts;

/**
 * Why a fact is rejected. The names are part of the operators' interface: they appear in counters
 * and in the log.
 */
public enum RejectionReason {
  /** Another node learned it. */
  OTHER_NODE,
  /** Its class or tenant is no longer configured. */
  GONE,
  /** It was learned under other settings of its class, tenant or server. */
  OTHER_TERMS,
  /** Its time lies in the future, or before the epoch. */
  FUTURE,
  /** Its value is out of range, or its weight is not positive. */
  RANGE,
  /** Its value or weight is infinite or not a number. */
  NOT_FINITE,
  /** It is so old that almost none of its weight is left. */
  AGED
}
