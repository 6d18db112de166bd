package rosecleat.policy;

/** The time that one call occupies the dependency. */
final class DownstreamCall {
  final long startedUs;

  /** When it stops to occupy the dependency, or the latest time of that while it is outstanding. */
  long occupiedUntilUs;

  DownstreamCall(long startedUs, long occupiedUntilUs) {
    this.startedUs = startedUs;
    this.occupiedUntilUs = occupiedUntilUs;
  }
}
