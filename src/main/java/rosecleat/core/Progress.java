package rosecleat.core;

/** How far an attempt had come when it failed, which tells the caller whether a retry is safe. */
public enum Progress {
  /** Nothing left this process. */
  NOT_SENT,
  /** It was sent, and it is proven that the other side executed nothing. */
  SENT,
  /** It was sent, and nothing proves what became of it. */
  MAY_HAVE_RUN,
  /** It ran. */
  RAN;

  /** Whether it is proven that nothing was executed. */
  public boolean neverRan() {
    return this == NOT_SENT || this == SENT;
  }
}
