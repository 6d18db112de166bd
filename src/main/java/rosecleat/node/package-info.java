/**
 * The process that runs a node: builds the node from its parts, reloads its configuration, hands
 * its clients over to a successor, and shuts it down gracefully.
 *
 * <p>All state of a node belongs to its only event loop. Other threads are the signal handler
 * ({@link rosecleat.node.ConfigReloader}), the shutdown hook ({@link rosecleat.node.NodeProcess})
 * and the thread of the fleet membership ({@link rosecleat.node.FleetMembership}); they submit
 * tasks to the event loop. This is the only package that may use every other package except the
 * command line, since it connects them. Classes of optional features are loaded only if the
 * configuration requests them, which keeps the start short.
 *
 * <p>Start reading at {@link rosecleat.node.NodeProcess#start}, {@link rosecleat.node.NodeParts},
 * {@link rosecleat.node.ShutdownSequence} and {@link rosecleat.node.ReloadSequence}.
 */
package rosecleat.node;
