package rosecleat.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * What was seen of one run, complete once it has ended.
 *
 * @param requests all requests of all clients
 * @param nodes the processes of the node
 * @param terminatedNs when the first SIGTERM was sent
 * @param events the steps that were taken, with their times
 * @param pauses when the machine stood still
 */
record SoakRecord(
    List<SentRequest> requests,
    List<SoakNode> nodes,
    long terminatedNs,
    List<String> events,
    PauseMeter pauses) {

  long pausedNs(long fromNs, long toNs) {
    return pauses.pausedNs(fromNs, toNs);
  }

  String sinceTermination(long timeNs) {
    return TimeUnit.NANOSECONDS.toMillis(timeNs - terminatedNs) + " ms after the first SIGTERM";
  }

  /** What a reader needs to see what happened. */
  String describe() {
    return String.join("\n", events)
        + "\n"
        + nodes.stream().map(SoakNode::log).collect(Collectors.joining("\nsuccessor:\n"));
  }
}
