package rosecleat.policy;

import java.util.Arrays;

/**
 * Estimates run times by class, and how much slower the server is than at its fastest. Run times
 * exclude contention for the cores. They are in us, or in us per us of the caller's run time hint
 * if requests carry one.
 */
final class ServiceTimeEstimator {
  /** Number of runs after which the run time of a class counts as known. */
  private static final int MIN_KNOWN_RUNS = 8;

  /** Weight of the newest run in the slowdown. */
  private static final double SLOWDOWN_WEIGHT = 0.1;

  /** Upper bound of one run's ratio to the run time of its class. */
  private static final double MAX_SLOWDOWN = 4;

  /** Growth factor of the minimum slowdown per run, so that old minima are forgotten. */
  private static final double MIN_SLOWDOWN_GROWTH = 1.0005;

  /** Slowness below which run times of classes are learned. */
  private static final double MAX_LEARNING_SLOWNESS = 1.5;

  /** Minimum weight of the newest run in the run time of a class. */
  private static final double MIN_RUN_WEIGHT = 0.02;

  private final CoreLoad load;
  private double[] runTimes = {};
  private int[] runCounts = {};
  private double[] restoredRunTimes = {};
  private int[] restoredRunCounts = {};
  private double slowdown = 1;
  private double minSlowdown = 1;

  ServiceTimeEstimator(CoreLoad load) {
    this.load = load;
  }

  /** Sets the number of classes. */
  void resize(int classes) {
    runTimes = Arrays.copyOf(runTimes, classes);
    runCounts = Arrays.copyOf(runCounts, classes);
    restoredRunTimes = Arrays.copyOf(restoredRunTimes, classes);
    restoredRunCounts = Arrays.copyOf(restoredRunCounts, classes);
  }

  /** Discards the run times of an index that is assigned to another class. */
  void forget(int classIndex) {
    runTimes[classIndex] = 0;
    runCounts[classIndex] = 0;
    restoredRunCounts[classIndex] = 0;
  }

  /**
   * Returns the run time of a class observed by this process, 0 before the first run is recorded.
   */
  double observedRunTime(int classIndex) {
    return runTimes[classIndex];
  }

  /** Returns whether enough runs of a class have ended in this process. */
  boolean hasEnoughRuns(int classIndex) {
    return runCounts[classIndex] >= MIN_KNOWN_RUNS;
  }

  /** Records a run that ended by itself. */
  void recordEnd(TrackedRequest tracked, long workedUs) {
    record(tracked, workedUs, 1);
  }

  /**
   * Records a cancelled run: adds its time without counting a completion. If cancelled runs were
   * ignored, a server that cancels its long runs would learn the run times of short ones only and
   * admit too many requests.
   */
  void recordCancellation(TrackedRequest tracked, long workedUs) {
    record(tracked, workedUs, 0);
  }

  private void record(TrackedRequest tracked, long workedUs, int completions) {
    int index = tracked.request.classIndex();
    // the time that reading and other runs take from this run on the cores is not slowness
    double uncontendedUs = workedUs / load.contention();
    long hintUs = tracked.request.runTimeHintUs();
    double runTime = hintUs > 0 ? uncontendedUs / hintUs : uncontendedUs;
    if (runCounts[index] == 0) {
      runTimes[index] = runTime;
    }
    double ratio = Math.min(MAX_SLOWDOWN, runTime / runTimes[index]);
    slowdown += SLOWDOWN_WEIGHT * (ratio - completions * slowdown);
    minSlowdown = Math.min(minSlowdown * MIN_SLOWDOWN_GROWTH, slowdown);
    runCounts[index] += completions;
    if (slowness() < MAX_LEARNING_SLOWNESS) {
      runTimes[index] +=
          (runTime - completions * runTimes[index])
              * Math.max(MIN_RUN_WEIGHT, 1.0 / Math.max(1, runCounts[index]));
    }
  }

  /** Returns the ratio of current run times to the fastest recent ones. */
  double slowness() {
    return minSlowdown > 0 ? slowdown / minSlowdown : 1;
  }

  /** Returns the run time to expect now (us), 0 if none is recorded or restored for the class. */
  double expectedRunTime(TrackedRequest tracked) {
    int index = tracked.request.classIndex();
    double base =
        runCounts[index] < restoredRunCounts[index] ? restoredRunTimes[index] : runTimes[index];
    long hintUs = tracked.request.runTimeHintUs();
    return base * (hintUs > 0 ? hintUs : 1) * slowdown * load.contention();
  }

  /**
   * Counts one run less behind a restored run time, which may be wrong, after a rejection by it.
   */
  void discountRestored(int classIndex) {
    if (restoredRunCounts[classIndex] > 0) {
      restoredRunCounts[classIndex]--;
    }
  }

  /** Returns run times by class; the restored one where fewer runs were observed than restored. */
  double[] learnedRunTimes() {
    double[] learned = new double[runTimes.length];
    for (int index = 0; index < learned.length; index++) {
      learned[index] =
          isObservationPreferred(index) ? runTimes[index] * minSlowdown : restoredRunTimes[index];
    }
    return learned;
  }

  /** Returns the number of runs behind each of {@link #learnedRunTimes}. */
  int[] learnedRunCounts() {
    int[] counts = new int[runCounts.length];
    for (int index = 0; index < counts.length; index++) {
      counts[index] = isObservationPreferred(index) ? runCounts[index] : restoredRunCounts[index];
    }
    return counts;
  }

  private boolean isObservationPreferred(int classIndex) {
    return runCounts[classIndex] >= restoredRunCounts[classIndex];
  }

  /**
   * Restores run times learned by another process, used until as many runs are observed here, at
   * most {@link #MIN_KNOWN_RUNS}. Trade-off: wrong run times mislead decisions until then.
   */
  void restore(double[] learnedRunTimes, int[] learnedRunCounts) {
    restoredRunTimes = learnedRunTimes.clone();
    restoredRunCounts = new int[learnedRunCounts.length];
    for (int index = 0; index < learnedRunCounts.length; index++) {
      restoredRunCounts[index] = Math.min(learnedRunCounts[index], MIN_KNOWN_RUNS);
    }
  }
}
