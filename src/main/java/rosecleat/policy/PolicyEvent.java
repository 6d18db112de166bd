package rosecleat.policy;

/** An event on a server, for its {@link PolicyEngine}. */
public sealed interface PolicyEvent {
  /** A request was read and queued; see {@link PolicyRequest} for the components. */
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

  /** A run waits for a downstream call to be made. */
  record CallNeeded(long id) implements PolicyEvent {}

  /** A downstream call has ended. */
  record CallEnded(long id, CallOutcome outcome, long tookUs) implements PolicyEvent {}

  /** The caller has cancelled the request or disconnected. */
  record Cancelled(long id) implements PolicyEvent {}

  /** The server started to drain, and its process stops after {@code remainingUs}. */
  record Draining(long remainingUs) implements PolicyEvent {}

  /** The gauges were read; the values are in the order of the gauge names. */
  record GaugesRead(double[] values) implements PolicyEvent {}

  /**
   * The host computed the load itself, because no gauges are available.
   *
   * @param coreUtilisation the share of the cores that is busy
   * @param runnable the number of requests that run on a core or wait for one
   */
  record LoadMeasured(double coreUtilisation, double runnable) implements PolicyEvent {}
}
