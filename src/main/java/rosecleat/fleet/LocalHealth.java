package rosecleat.fleet;

/**
 * Lifeguard's local health score of this process, from 0 (healthy) to {@link
 * Tuning#MAX_LOCAL_HEALTH} (slow or poorly connected). A process that is slow itself waits longer
 * before it suspects others.
 */
final class LocalHealth {
  private final boolean enabled;
  private int score;

  LocalHealth(Tuning tuning) {
    enabled = tuning.localHealth();
  }

  /** Returns the score; a greater one is worse. */
  int score() {
    return score;
  }

  /** Makes the score worse (positive change) or better (negative change), within its bounds. */
  void adjust(int change) {
    score = Math.max(0, Math.min(Tuning.MAX_LOCAL_HEALTH, score + change));
  }

  /**
   * Returns the factor to apply to a timeout: 1, plus 1 for every {@code steps} steps of the score.
   */
  double timeoutFactor(int steps) {
    return enabled ? 1 + (double) score / steps : 1;
  }
}
