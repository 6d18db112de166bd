package rosecleat.takeover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.core.StartedRuns;
import rosecleat.log.Log;

/**
 * The peer processes of this node: predecessors, which started earlier, and successors, which take
 * over from this process. The methods return the state as of the last {@link #poll}. For the event
 * loop only, except for {@link #successorTakesOver} and {@link #markLeaving}.
 */
public interface TakeoverCoordinator extends AutoCloseable {
  /**
   * Joins the processes that share a folder; without a folder there are no peers.
   *
   * @throws IOException if the folder cannot be used
   */
  static TakeoverCoordinator join(Optional<Path> sharedFolder, Counters counters, Log log)
      throws IOException {
    return sharedFolder.isEmpty()
        ? new NoPeers()
        : new SharedFolderCoordinator(sharedFolder.get(), counters, log);
  }

  /** Reads the state of all peers, and removes expired claims and the files of dead peers. */
  void poll(long nowUs);

  /**
   * Grants this process its share of the node's limits as of the last poll, and reports it to the
   * peers.
   *
   * @param limits the limits of the node
   * @param inUse the amounts that this process uses
   * @param remainingCalls its calls that count now and after each further second without new calls
   * @param shuttingDown whether this process shuts down
   */
  ResourceAmounts grant(
      ResourceAmounts limits,
      ResourceAmounts inUse,
      List<Double> remainingCalls,
      boolean shuttingDown);

  /** Returns whether a peer is alive. */
  boolean hasPeers();

  /** Returns whether a predecessor is alive. */
  boolean predecessorIsAlive();

  /**
   * Returns whether a successor is alive that has not been asked to shut down itself, as of the
   * time of the call; may be called from any thread.
   */
  boolean successorTakesOver();

  /** Returns whether a successor is alive and accepts clients. */
  boolean successorIsServing();

  /** Announces to the peers that this process accepts clients. */
  void markServing();

  /**
   * Announces to the peers that this process has been asked to shut down, so that it takes over
   * from none of them; may be called from any thread.
   */
  void markLeaving();

  /** Returns whether operators have drained this node, through any of its processes. */
  boolean isDrained();

  /** Drains this node, or returns it to service, at the request of operators. */
  void setDrained(boolean drained);

  /**
   * Sets how long claims are retained.
   *
   * @param retentionUs the time after their window, for retries that are read late (us)
   * @param maxWindowUs the longest window in force here (us). The claims of dead processes are
   *     retained for so much longer, because their files may have had a shorter window
   */
  void setClaimRetentionUs(long retentionUs, long maxWindowUs);

  /** Returns the claims of idempotency keys that this process shares with its peers. */
  IdempotencyClaims claims();

  /** Returns the runs that this process and its peers may have executed. */
  StartedRuns startedRuns();

  /** Releases this process's marker, after which peers regard this process as dead. */
  @Override
  void close();
}
