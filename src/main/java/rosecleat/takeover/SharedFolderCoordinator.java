package rosecleat.takeover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.core.StartedRuns;
import rosecleat.log.Log;

/**
 * Coordinates the processes of a node through files in a folder that all of them can access. If a
 * file cannot be read or written, the failure is logged and the last known state stays in force.
 */
final class SharedFolderCoordinator implements TakeoverCoordinator {
  private static final String FOLDER = "rosecleat";
  private static final String DRAINED = "drained";
  private static final String CLAIMS = "keys";

  /** Minimum time between two removals of expired claims and files of dead processes (us). */
  private static final long EXPIRY_PERIOD_US = 1_000_000;

  private final Log log;
  private final Path drainFile;
  private final ProcessMarkers markers;
  private final SymlinkClaims claims;
  private final SharedStartedRuns startedRuns;
  private final PeerLoadReports loadReports;
  private boolean drained;
  private boolean predecessorIsAlive;
  private boolean successorIsAlive;
  private boolean successorIsServing;
  private long nextExpiryUs;
  private long polledAtUs;

  SharedFolderCoordinator(Path shared, Counters counters, Log log) throws IOException {
    this.log = log;
    Path folder = Files.createDirectories(shared.resolve(FOLDER));
    drainFile = folder.resolve(DRAINED);
    markers = new ProcessMarkers(folder);
    claims = new SymlinkClaims(folder.resolve(CLAIMS), markers, counters, log);
    startedRuns = new SharedStartedRuns(folder, markers.ownNumber(), counters, log);
    loadReports = new PeerLoadReports(folder, markers.ownNumber());
    poll(0);
    if (predecessorIsAlive) {
      log.info("process " + markers.ownNumber() + " of this node takes over from a predecessor");
    }
  }

  @Override
  public void poll(long nowUs) {
    polledAtUs = nowUs;
    try {
      pollPeers(nowUs);
      drained = Files.exists(drainFile);
      if (nowUs >= nextExpiryUs && nowUs > 0) {
        nextExpiryUs = nowUs + EXPIRY_PERIOD_US;
        claims.expire(nowUs, !predecessorIsAlive);
        if (!predecessorIsAlive) {
          removeDeadPredecessors();
        }
      }
    } catch (IOException e) {
      log.warn("could not read the state of peer processes: " + e);
    }
  }

  private void pollPeers(long nowUs) throws IOException {
    boolean predecessor = false;
    boolean successor = false;
    boolean serving = false;
    startedRuns.setProcessNumbers(markers.processNumbers());
    for (int number : markers.processNumbers()) {
      if (number == markers.ownNumber() || !markers.isAlive(number)) {
        continue;
      }
      loadReports.read(number, nowUs);
      predecessor |= number < markers.ownNumber();
      successor |= number > markers.ownNumber();
      serving |= number > markers.ownNumber() && markers.isServing(number);
    }
    predecessorIsAlive = predecessor;
    successorIsAlive = successor;
    successorIsServing = serving;
  }

  private void removeDeadPredecessors() throws IOException {
    for (int number : markers.processNumbers()) {
      if (number < markers.ownNumber()) {
        markers.remove(number);
        loadReports.remove(number);
        startedRuns.removeFile(number);
      }
    }
  }

  @Override
  public ResourceAmounts grant(
      ResourceAmounts limits,
      ResourceAmounts inUse,
      List<Double> remainingCalls,
      boolean shuttingDown) {
    ResourceAmounts grant =
        loadReports.grant(limits, inUse, successorIsAlive, shuttingDown, polledAtUs);
    if (hasPeers()) {
      try {
        loadReports.write(remainingCalls);
      } catch (IOException e) {
        log.warn(
            "could not write the load report of this process,"
                + " peers do not see its current share of the limits: "
                + e);
      }
    }
    return grant;
  }

  @Override
  public boolean hasPeers() {
    return predecessorIsAlive || successorIsAlive;
  }

  @Override
  public boolean predecessorIsAlive() {
    return predecessorIsAlive;
  }

  @Override
  public boolean successorTakesOver() {
    try {
      return markers.processNumbers().stream()
          .filter(number -> number > markers.ownNumber())
          .anyMatch(number -> markers.isAlive(number) && !markers.isLeaving(number));
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public boolean successorIsServing() {
    return successorIsServing;
  }

  @Override
  public void markServing() {
    try {
      markers.markServing();
    } catch (IOException e) {
      log.warn(
          "could not write the serving marker of this process,"
              + " its predecessor does not learn that it serves: "
              + e);
    }
  }

  @Override
  public void markLeaving() {
    try {
      markers.markLeaving();
    } catch (IOException e) {
      log.warn(
          "could not write the leaving marker of this process,"
              + " predecessors still regard it as their successor: "
              + e);
    }
  }

  @Override
  public boolean isDrained() {
    return drained;
  }

  @Override
  public void setDrained(boolean drained) {
    this.drained = drained;
    try {
      if (drained) {
        Files.write(drainFile, new byte[0]);
      } else {
        Files.deleteIfExists(drainFile);
      }
    } catch (IOException e) {
      log.warn(
          "could not update the drain marker of this node,"
              + " peer processes do not learn of the operators' request: "
              + e);
    }
  }

  @Override
  public void setClaimRetentionUs(long retentionUs, long maxWindowUs) {
    claims.setRetentionUs(retentionUs);
    claims.setMaxWindowUs(maxWindowUs);
  }

  @Override
  public IdempotencyClaims claims() {
    return claims;
  }

  @Override
  public StartedRuns startedRuns() {
    return startedRuns;
  }

  @Override
  public void close() {
    try {
      startedRuns.close();
      markers.close();
    } catch (IOException e) {
      log.warn("could not close marker file of this process: " + e);
    }
  }
}
