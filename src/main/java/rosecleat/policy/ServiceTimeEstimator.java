package rosecleat.policy;

import java.util.Arrays;

/**
 * Estimates run times by class, and how much slower the server is than it can be. Run times are
 * those alone on the cores, in us, or in us per us of the caller's hint where requests bring one.
 */
final class ServiceTimeEstimator {
  /** A class's run time is known after so many runs; chosen here. */
  private static final int MIN_KNOWN_RUNS = 8;

  /** Weight of the newest run in the slowdown; chosen here. */
  private static final double SLOWDOWN_WEIGHT = 0.1;

  /** One run counts as at most so many times its usual run time; chosen here. */
  private static final double MAX_SLOWDOWN = 4;

  /** Growth of the least slowdown with each run, so that it is forgotten; chosen here. */
  private static final double MIN_SLOWDOWN_GROWTH = 1.0005;

  /** Run times are learned while the server is less than this many times slower; chosen here. */
  private static final double MAX_LEARNING_SLOWNESS = 1.5;

  /** Least weight of the newest run in a class's run time; chosen here. */
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

  /** Makes room for so many classes. */
  void resize(int classes) {
    runTimes = Arrays.copyOf(runTimes, classes);
    runCounts = Arrays.copyOf(runCounts, classes);
    restoredRunTimes = Arrays.copyOf(restoredRunTimes, classes);
    restoredRunCounts = Arrays.copyOf(restoredRunCounts, classes);
  }

  /** Forgets what is known under an index that stands for another class now. */
  void forget(int classIndex) {
    runTimes[classIndex] = 0;
    runCounts[classIndex] = 0;
    restoredRunCounts[classIndex] = 0;
  }

  /** The run time of a class as seen here, 0 while no run of it has ended. */
  double observedRunTime(int classIndex) {
    return runTimes[classIndex];
  }

  /** Whether enough runs of a class have ended here. */
  boolean hasEnoughRuns(int classIndex) {
    return runCounts[classIndex] >= MIN_KNOWN_RUNS;
  }

  /** Counts a run that ended by itself. */
  void recordEnd(TrackedRequest tracked, long workedUs) {
    record(tracked, workedUs, 1);
  }

  /**
   * Counts a run that was cancelled: its time, but not its end. Otherwise a server that stops its
   * long runs would know short ones only, and take too much.
   */
  void recordCancellation(TrackedRequest tracked, long workedUs) {
    record(tracked, workedUs, 0);
  }

  private void record(TrackedRequest tracked, long workedUs, int completions) {
    int index = tracked.request.classIndex();
    // what reading and other runs took of the cores is no slowness
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

  /** How many times slower runs are than they were at their fastest. */
  double slowness() {
    return minSlowdown > 0 ? slowdown / minSlowdown : 1;
  }

  /** The run time to expect now (us); 0 while no run of the class has ended here. */
  double expectedRunTime(TrackedRequest tracked) {
    int index = tracked.request.classIndex();
    double base =
        runCounts[index] < restoredRunCounts[index] ? restoredRunTimes[index] : runTimes[index];
    long hintUs = tracked.request.runTimeHintUs();
    return base * (hintUs > 0 ? hintUs : 1) * slowdown * load.contention();
  }

  /** Trusts a restored run time less, as it may be wrong: called where it leads to a rejection. */
  void discountRestored(int classIndex) {
    if (restoredRunCounts[classIndex] > 0) {
      restoredRunCounts[classIndex]--;
    }
  }

  /** Run times by class; where little was seen here, the restored ones. */
  double[] learnedRunTimes() {
    double[] learned = new double[runTimes.length];
    for (int index = 0; index < learned.length; index++) {
      learned[index] =
          isObservationPreferred(index) ? runTimes[index] * minSlowdown : restoredRunTimes[index];
    }
    return learned;
  }

  /** The runs that {@link #learnedRunTimes} rest on. */
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

  /** Uses run times learned elsewhere until some are seen here. Harm: wrong ones mislead. */
  void restore(double[] learnedRunTimes, int[] learnedRunCounts) {
    restoredRunTimes = learnedRunTimes.clone();
    restoredRunCounts = new int[learnedRunCounts.length];
    for (int index = 0; index < learnedRunCounts.length; index++) {
      restoredRunCounts[index] = Math.min(learnedRunCounts[index], MIN_KNOWN_RUNS);
    }
  }
}
