package rosecleat.soak;

/**
 * A request class in one run.
 *
 * @param name its name on the wire
 * @param effect {@code pure}, {@code token} or {@code side_effect}
 * @param calls whether its runs may make downstream calls
 * @param deadlineMs the maximum time until the answer
 * @param windowMs how long an idempotency key is valid
 * @param workMs how long a run takes on a core
 */
record RequestClassPlan(
    String name, String effect, boolean calls, int deadlineMs, int windowMs, int workMs) {
  boolean keyed() {
    return effect.equals("token");
  }

  boolean runsOnceAtMost() {
    return !effect.equals("pure");
  }
}
