/**
 * Client of the machine's runtime, the process that executes runs.
 *
 * <p>The protocol is one JSON object per line, in both directions. The runtime numbers its messages
 * and sends them again on a new connection until they have been read. Commands are not numbered, so
 * {@link rosecleat.runtime.CommandTracker} stores those that a broken connection may have lost.
 *
 * <p>All state belongs to the event loop's thread and is in memory only. The package uses {@code
 * rosecleat.net} for connections and reports to {@code rosecleat.core}; it does not depend on the
 * policy or the front ends. Start reading at {@link rosecleat.runtime.RuntimeClient}.
 */
package rosecleat.runtime;
