package rosecleat.facts;

/** Why a fact is dropped. */
public enum Drop {
  /** It is of another node. */
  OTHER_NODE,
  /** Its class or tenant is gone. */
  GONE,
  /** Its class, tenant or node has other figures now. */
  OTHER_TERMS,
  /** It is from a time that has not come. */
  FUTURE,
  /** Its value is out of its kind's range, or its weight is none. */
  RANGE,
  /** Its value or weight is no number, or without end. */
  NOT_FINITE,
  /** It is so old that nearly nothing of it is left. */
  AGED
}
