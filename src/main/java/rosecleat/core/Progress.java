package rosecleat.core;

/** How far an attempt had got when it failed, which determines whether a retry is safe. */
public enum Progress {
  /** Nothing was sent. */
  NOT_SENT,
  /** The request was sent, and it is certain that the receiver executed nothing. */
  SENT,
  /** The request was sent, and it is unknown whether it was executed. */
  MAY_HAVE_RUN,
  /** The request was executed. */
  RAN;

  /** Returns whether it is certain that nothing was executed. */
  public boolean neverRan() {
    return this == NOT_SENT || this == SENT;
  }
}
