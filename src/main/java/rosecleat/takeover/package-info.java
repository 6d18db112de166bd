/**
 * Coordination of the processes of one node while a new version takes over from the running one.
 *
 * <p>The processes share a folder. Each process has a marker file in it that it keeps locked while
 * it is alive ({@link rosecleat.takeover.ProcessMarkers}), a report of its share of the node's
 * limits ({@link rosecleat.takeover.PeerLoadReports}), and its claims of idempotency keys with
 * their results ({@link rosecleat.takeover.SymlinkClaims}). Older and newer versions of the program
 * read these files, so their names and contents must not change.
 *
 * <p>All state belongs to the node's event loop; only {@link
 * rosecleat.takeover.TakeoverCoordinator#successorTakesOver} and {@link
 * rosecleat.takeover.TakeoverCoordinator#markLeaving} may be called from any thread. The package
 * uses the core's claims and counters, the log and the parser of numbers; it does not depend on the
 * protocols or the node. Start reading at {@link rosecleat.takeover.TakeoverCoordinator}.
 */
package rosecleat.takeover;
