package rosecleat.core;

/** How far an attempt had come when it failed: the proof that an error carries. */
public enum Progress {
  /** Nothing left this process. */
  NOT_SENT,
  /** It was sent, and the other side has said that it did nothing. */
  SENT,
  /** It was sent, and nothing proves what became of it. */
  MAY_HAVE_RUN,
  /** It ran. */
  RAN;

  /** Whether this proves that nothing ran. */
  public boolean neverRan() {
    return this == NOT_SENT || this == SENT;
  }
}
