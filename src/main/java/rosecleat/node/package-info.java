/**
 * The process around a node: builds the node from its parts, reloads its configuration, hands its
 * clients over to a successor, and ends it in order.
 *
 * <p>All state of a node belongs to its one event loop. Other threads are the signal handler
 * ({@link rosecleat.node.ConfigReloader}), the shutdown hook ({@link rosecleat.node.NodeProcess})
 * and the thread of the fleet's membership ({@link rosecleat.node.FleetMembership}); they pass
 * tasks to the loop. This is the one package that may use every other except the command line,
 * since it connects them. Classes for optional features are loaded only where the configuration
 * asks for them, which keeps starts short.
 *
 * <p>Start reading at {@link rosecleat.node.NodeProcess#start}, {@link rosecleat.node.NodeParts},
 * {@link rosecleat.node.ShutdownSequence} and {@link rosecleat.node.ReloadSequence}.
 */
package rosecleat.node;
