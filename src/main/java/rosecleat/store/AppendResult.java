package rosecleat.store;

/** Whether {@link RecordStore#append} accepted its records. */
public enum AppendResult {
  /** The records wait for the disk; the callback is called later. */
  QUEUED,
  /** The queue is full; nothing is written and the callback is not called. */
  FULL,
  /** The store is closed; nothing is written and the callback is not called. */
  CLOSED
}
