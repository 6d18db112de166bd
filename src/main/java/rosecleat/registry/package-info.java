/**
 * Client of the service registry, from which balancers learn which nodes exist.
 *
 * <p>One report a second states whether this node is on duty or drains; the registry removes nodes
 * that stop reporting. The settings key, the HTTP path and the counters of this package use {@code
 * roster}, the name of the service on the wire.
 *
 * <p>All state belongs to the event loop's thread. The package uses {@code rosecleat.net} for
 * connections and {@code rosecleat.core} for counters. Start reading at {@link
 * rosecleat.registry.RegistryClient}.
 */
package rosecleat.registry;
