package rosecleat.policy;

/** The time span in which one downstream call occupies the dependency. */
final class DownstreamCall {
  final long startedUs;

  /**
   * When the call stops occupying the dependency; while the call is outstanding, the latest such
   * time.
   */
  long occupiedUntilUs;

  DownstreamCall(long startedUs, long occupiedUntilUs) {
    this.startedUs = startedUs;
    this.occupiedUntilUs = occupiedUntilUs;
  }
}
