package rosecleat.store;

/** The immediate result of {@link RecordStore#append}: whether its records were accepted. */
public enum AppendResult {
  /** The records are queued for writing; the callback is called later. */
  QUEUED,
  /** The queue is full: nothing is written, and the callback is not called. */
  FULL,
  /** The store is closed: nothing is written, and the callback is not called. */
  CLOSED
}
