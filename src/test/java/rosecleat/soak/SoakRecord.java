package rosecleat.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * The observations of one run, complete after its end.
 *
 * @param requests all requests of all clients
 * @param nodes the processes of the node
 * @param terminatedNs when the first SIGTERM was sent
 * @param events the executed steps with their times
 * @param pauses the pauses of the machine
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

  /** Returns the events of the run and the logs of its processes. */
  String describe() {
    return String.join("\n", events)
        + "\n"
        + nodes.stream().map(SoakNode::log).collect(Collectors.joining("\nsuccessor:\n"));
  }
}
