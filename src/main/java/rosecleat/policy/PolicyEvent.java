package rosecleat.policy;

/** Something that happened on a server and that its {@link PolicyEngine} handles. */
public sealed interface PolicyEvent {
  /** A request was read and is queued; the components are those of {@link PolicyRequest}. */
  record Arrived(
      long id,
      int classIndex,
      int tenantIndex,
      long readKey,
      long timeoutUs,
      double queuedKb,
      double rank,
      boolean retry,
      boolean write,
      long callerId,
      long ageUs,
      long originalId)
      implements PolicyEvent {}

  /** A run, or the replay of a result, has ended. */
  record Ended(long id, RunOutcome outcome, long tookUs) implements PolicyEvent {}

  /** A run waits for its downstream call. */
  record CallNeeded(long id) implements PolicyEvent {}

  /** A downstream call has ended. */
  record CallEnded(long id, CallOutcome outcome, long tookUs) implements PolicyEvent {}

  /** The caller has cancelled the request or disconnected. */
  record Cancelled(long id) implements PolicyEvent {}

  /** The server drains and is stopped after {@code remainingUs}. */
  record Draining(long remainingUs) implements PolicyEvent {}

  /** The gauges as last read, in the order of the settings. */
  record GaugesRead(double[] values) implements PolicyEvent {}

  /**
   * The load as the host computes it, where nobody reads gauges.
   *
   * @param coreUtilisation share of the cores that is busy
   * @param runnable requests that want a core right now
   */
  record LoadMeasured(double coreUtilisation, double runnable) implements PolicyEvent {}
}
