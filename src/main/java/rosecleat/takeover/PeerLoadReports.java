package rosecleat.takeover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Load reports by which the processes of a node share its limits: each process writes the share
 * that it has granted itself to a file. A process may use what no predecessor has granted itself.
 * While a successor is alive, a process grants itself its usage and a share of the free amounts,
 * and never raises its grant, so that a report that is read late overstates the grant rather than
 * understating it.
 *
 * <p>The limit on calls is a mean over a time window, so the calls of a process that has ended
 * count until that window is over. A report therefore lists how the counted calls of its process
 * decrease, second by second.
 */
final class PeerLoadReports {
  private static final String REPORT_PREFIX = "load-";
  private static final double SECOND_US = 1_000_000;

  /** Share of the free amounts that a serving process grants itself while a successor is alive. */
  private static final double FREE_SHARE_WHILE_SERVING = 0.5;

  /**
   * Share of the free amounts that a process grants itself beside a successor once it shuts down.
   */
  private static final double FREE_SHARE_WHILE_SHUTTING_DOWN = 0.125;

  /**
   * The last report of a peer process.
   *
   * @param grant the amounts that the peer granted itself; null if it has reported nothing yet
   * @param remainingCalls the peer's calls that still count, by seconds since it was last seen
   *     alive
   * @param seenAtUs when the peer was last seen alive
   */
  private record Report(ResourceAmounts grant, List<Double> remainingCalls, long seenAtUs) {
    static final Report NOT_REPORTED = new Report(null, List.of(), 0);

    Report seenAt(long nowUs) {
      return new Report(grant, remainingCalls, nowUs);
    }

    /** Returns the seconds from when the peer was last seen alive to a poll of all peers. */
    double secondsSinceSeen(long polledAtUs) {
      return (polledAtUs - seenAtUs) / SECOND_US;
    }

    boolean hasExpired(long polledAtUs) {
      return seenAtUs < polledAtUs && secondsSinceSeen(polledAtUs) >= remainingCalls.size();
    }
  }

  private final Path folder;
  private final int ownNumber;
  private final Map<Integer, Report> reports = new HashMap<>();
  private ResourceAmounts ownGrant;

  PeerLoadReports(Path folder, int ownNumber) {
    this.folder = folder;
    this.ownNumber = ownNumber;
  }

  /** Reads the report of a live peer; if it cannot be read, the previous report stays in force. */
  void read(int peer, long nowUs) {
    try {
      reports.put(
          peer, parse(Files.readString(reportFile(peer), StandardCharsets.US_ASCII), nowUs));
    } catch (IOException | RuntimeException e) {
      reports.put(peer, reports.getOrDefault(peer, Report.NOT_REPORTED).seenAt(nowUs));
    }
  }

  private static Report parse(String text, long nowUs) {
    List<Double> numbers = new ArrayList<>();
    for (String word : text.split(" ")) {
      numbers.add(Double.parseDouble(word));
    }
    return new Report(
        new ResourceAmounts(numbers.get(0), numbers.get(1), numbers.get(2)),
        List.copyOf(numbers.subList(3, numbers.size())),
        nowUs);
  }

  /**
   * Grants this process its share of the node's limits.
   *
   * @param limits the limits of the node
   * @param inUse the amounts that this process uses
   * @param hasSuccessor whether a successor is alive
   * @param shuttingDown whether this process shuts down
   * @param polledAtUs when the peers were last polled
   */
  ResourceAmounts grant(
      ResourceAmounts limits,
      ResourceAmounts inUse,
      boolean hasSuccessor,
      boolean shuttingDown,
      long polledAtUs) {
    ResourceAmounts free = limits.minus(takenByPeers(limits, polledAtUs));
    if (!hasSuccessor) {
      ownGrant = free;
      return ownGrant;
    }
    double freeShare = shuttingDown ? FREE_SHARE_WHILE_SHUTTING_DOWN : FREE_SHARE_WHILE_SERVING;
    ResourceAmounts proposed = inUse.plus(free.minus(inUse).times(freeShare));
    ownGrant = ownGrant == null ? proposed : ownGrant.min(proposed);
    return ownGrant;
  }

  /**
   * Returns the sum of the grants of live predecessors and the calls of dead peers that still
   * count.
   */
  private ResourceAmounts takenByPeers(ResourceAmounts limits, long polledAtUs) {
    reports.values().removeIf(report -> report.hasExpired(polledAtUs));
    ResourceAmounts sum = ResourceAmounts.NONE;
    for (Map.Entry<Integer, Report> entry : reports.entrySet()) {
      Report report = entry.getValue();
      if (report.seenAtUs < polledAtUs) {
        double calls = report.remainingCalls.get((int) report.secondsSinceSeen(polledAtUs));
        sum = sum.plus(new ResourceAmounts(calls, 0, 0));
      } else if (entry.getKey() < ownNumber) {
        // a predecessor that has reported nothing yet may use all limits
        sum = sum.plus(report.grant == null ? limits : report.grant);
      }
    }
    return sum;
  }

  /**
   * Writes the report of this process atomically.
   *
   * @param remainingCalls its calls that count now and after each further second without new calls
   */
  void write(List<Double> remainingCalls) throws IOException {
    String calls = remainingCalls.stream().map(String::valueOf).collect(Collectors.joining(" "));
    Path temporary = folder.resolve("scratch-" + REPORT_PREFIX + ownNumber);
    Files.writeString(
        temporary,
        ownGrant.calls() + " " + ownGrant.memoryKb() + " " + ownGrant.running() + " " + calls);
    Files.move(temporary, reportFile(ownNumber), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Removes the report of a dead process. */
  void remove(int deadNumber) throws IOException {
    Files.deleteIfExists(reportFile(deadNumber));
  }

  private Path reportFile(int number) {
    return folder.resolve(REPORT_PREFIX + number);
  }
}
