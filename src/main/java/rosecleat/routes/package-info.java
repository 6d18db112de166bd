/**
 * The fleet's routes: which instances each service has, replicated to every process.
 *
 * <p>Begin with {@link rosecleat.routes.RouteStore}, a replica of all entries that merges by
 * last-writer-wins with Lamport times, and {@link rosecleat.routes.RouteTable}, the immutable table
 * that it yields. {@code RouteTrie} holds the entries under digests, so that replicas and tables
 * are compared at the cost of their differences; {@link rosecleat.routes.RouteSyncSession} makes
 * two replicas equal in an exchange of frames. A store belongs to one thread; tables are for any.
 * The package does no input or output; it uses the fleet's exchanges, checksum and messages.
 */
package rosecleat.routes;
