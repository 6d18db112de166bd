package rosecleat.fleet;

/**
 * Lifeguard's local health score: how much this process doubts its own timeliness, from 0 (healthy)
 * to {@link Tuning#MAX_LOCAL_HEALTH}. A process that is slow itself waits longer before it suspects
 * others.
 */
final class LocalHealth {
  private final boolean enabled;
  private int score;

  LocalHealth(Tuning tuning) {
    enabled = tuning.localHealth();
  }

  /** The score; greater is worse. */
  int score() {
    return score;
  }

  /** Makes the score worse (positive) or better (negative), within its bounds. */
  void adjust(int change) {
    score = Math.max(0, Math.min(Tuning.MAX_LOCAL_HEALTH, score + change));
  }

  /** The factor for a timeout: one more for each {@code steps} steps of the score. */
  double timeoutFactor(int steps) {
    return enabled ? 1 + (double) score / steps : 1;
  }
}
