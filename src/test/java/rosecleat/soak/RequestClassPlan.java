package rosecleat.soak;

/**
 * A class of requests in one run.
 *
 * @param name its name on the wire
 * @param effect {@code pure}, {@code token} or {@code side_effect}
 * @param calls whether its requests may call downstream
 * @param deadlineMs the longest time to an answer
 * @param windowMs how long a key is in force
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
