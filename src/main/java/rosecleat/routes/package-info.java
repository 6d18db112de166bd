/**
 * The fleet's routes: the instances of each service, replicated to every process.
 *
 * <p>Begin with {@link rosecleat.routes.RouteStore}, a replica of all entries that resolves
 * conflicts by last-writer-wins with Lamport times, and {@link rosecleat.routes.RouteTable}, the
 * immutable table derived from it. {@code RouteTrie} stores the entries with digests, so that the
 * cost of comparing replicas or tables depends on the number of their differences; {@link
 * rosecleat.routes.RouteSyncSession} synchronizes two replicas in an exchange of frames. A store
 * must be used on one thread; tables are thread-safe. The package performs no input or output; it
 * uses the fleet's exchanges, checksum and messages.
 */
package rosecleat.routes;
