package rosecleat.takeover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.log.Log;

/**
 * The peer processes of this node: predecessors, which started earlier, and successors, which take
 * over from it. What the methods return was true at the last {@link #poll}. For the event loop
 * only, except for {@link #successorTakesOver} and {@link #markLeaving}.
 */
public interface TakeoverCoordinator extends AutoCloseable {
  /**
   * Joins the processes that share a folder; without a folder there are no peers.
   *
   * @throws IOException where the folder cannot be used
   */
  static TakeoverCoordinator join(Optional<Path> sharedFolder, Counters counters, Log log)
      throws IOException {
    return sharedFolder.isEmpty()
        ? new NoPeers()
        : new SharedFolderCoordinator(sharedFolder.get(), counters, log);
  }

  /** Looks up the state of all peers, and removes what dead ones have left behind. */
  void poll(long nowUs);

  /**
   * Grants this process its part of the node's limits as of the last poll, and reports it to the
   * peers.
   *
   * @param limits the limits of the node
   * @param inUse what this process uses
   * @param remainingCalls its calls that count now and after each further second without new ones
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
   * Returns whether a successor is alive that was not told to leave itself, looked up at the time
   * of the call; for any thread.
   */
  boolean successorTakesOver();

  /** Returns whether a successor is alive and accepts clients. */
  boolean successorIsServing();

  /** Announces that this process accepts clients. */
  void markServing();

  /** Announces that this process was told to leave, so that it takes over from none; any thread. */
  void markLeaving();

  /** Returns whether operators have drained this node, through whichever of its processes. */
  boolean isDrained();

  /** Drains this node on behalf of operators, or puts it into service again. */
  void setDrained(boolean drained);

  /** Sets how long claims outlast their window (us), for retries that are read late. */
  void setClaimRetentionUs(long retentionUs);

  /** Returns the claims of idempotency keys that this process shares with its peers. */
  IdempotencyClaims claims();

  /** Shows this process as ended to its peers. */
  @Override
  void close();
}
