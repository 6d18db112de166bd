/**
 * The client of the registry of nodes, the list from which balancers learn which nodes exist.
 *
 * <p>One report a second says whether this node is on duty or drains; the registry drops nodes that
 * keep silent. The settings key, the HTTP path and the counters of this package say {@code roster},
 * which is the service's name on the wire.
 *
 * <p>All state belongs to the loop's thread. Uses {@code rosecleat.net} for connections and {@code
 * rosecleat.core} for counters. Begin with {@link rosecleat.registry.RegistryClient}.
 */
package rosecleat.registry;
