/**
 * Coordination of the processes of one node while a new version takes over from the running one.
 *
 * <p>The processes share a folder. In it each has a marker file that it keeps locked while it lives
 * ({@link rosecleat.takeover.ProcessMarkers}), a report of the part of the node's limits that it
 * uses ({@link rosecleat.takeover.PeerLoadReports}), and its claims of idempotency keys with their
 * results ({@link rosecleat.takeover.SymlinkClaims}). The names and contents of these files are
 * read by older and newer versions of the program and must not change.
 *
 * <p>All state belongs to the node's event loop; only {@link
 * rosecleat.takeover.TakeoverCoordinator#successorTakesOver} may be called from any thread. The
 * package uses the core's claims and counters, the log and the parser of numbers; it knows neither
 * protocols nor the node. Start reading at {@link rosecleat.takeover.TakeoverCoordinator}.
 */
package rosecleat.takeover;
