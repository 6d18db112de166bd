package rosecleat.core;

/** The one final answer to a request. */
public sealed interface Answer {
  /** The result of its run, or of another try's run. */
  record Served(byte[] result) implements Answer {}

  /**
   * Turned away: this try never ran. {@code holdOffUs} advises how long to keep away; 0 is no
   * advice.
   */
  record Refused(long holdOffUs, boolean last) implements Answer {}

  /** Failed; the fault says how far it had come. */
  record Failed(Fault fault, Cause cause) implements Answer {}

  /** Whose failure it is. */
  enum Cause {
    /** The request contradicts another one. */
    CALLER,
    /** Given up on here, for lack of time. */
    TIME,
    /** What does the work, or what lies below it, failed. */
    BACKEND
  }
}
