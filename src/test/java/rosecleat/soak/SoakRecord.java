package rosecleat.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What was seen of one run, complete once it has ended.
 *
 * @param plan what the run drew
 * @param requests all requests of all clients
 * @param starts the runtime's record of starts: id, class and body
 * @param terminatedNs when the first SIGTERM was sent; 0 for never
 * @param killed whether the process had to be killed
 * @param exitCode the code that it ended with
 * @param log its log
 * @param events the steps that were taken, with their times
 * @param pauses when the machine stood still
 */
record SoakRecord(
    SoakPlan plan,
    List<SentRequest> requests,
    List<String> starts,
    long terminatedNs,
    boolean killed,
    int exitCode,
    String log,
    List<String> events,
    PauseMeter pauses) {
  private static final String COUNTERS = " info counters ";

  long pausedNs(long fromNs, long toNs) {
    return pauses.pausedNs(fromNs, toNs);
  }

  boolean servedTraffic() {
    return !requests.isEmpty();
  }

  String sinceTermination(long timeNs) {
    return terminatedNs == 0
        ? "before SIGTERM"
        : TimeUnit.NANOSECONDS.toMillis(timeNs - terminatedNs) + " ms after SIGTERM";
  }

  /** The counters that the process logged last; empty where it logged none. */
  Map<String, Long> counters() {
    Map<String, Long> counters = new HashMap<>();
    log.lines()
        .filter(line -> line.contains(COUNTERS))
        .flatMap(
            line ->
                Stream.of(line.substring(line.indexOf(COUNTERS) + COUNTERS.length()).split(" ")))
        .map(entry -> entry.split("="))
        .forEach(pair -> counters.put(pair[0], Long.parseLong(pair[1])));
    return counters;
  }

  /** What a reader needs to see what happened. */
  String describe() {
    return String.join("\n", events) + "\n" + log;
  }
}
