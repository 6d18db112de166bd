/**
 * The client of the machine's runtime, the process that executes requests.
 *
 * <p>The protocol is one JSON object a line, in both directions. Messages of the runtime are
 * numbered and repeated on a new connection until they were read; commands are not, so {@link
 * rosecleat.runtime.CommandTracker} keeps those that a broken connection may have lost.
 *
 * <p>All state belongs to the loop's thread and lives in memory only. Uses {@code rosecleat.net}
 * for connections and reports to {@code rosecleat.core}; knows nothing of the policy or of the
 * front ends. Begin with {@link rosecleat.runtime.RuntimeClient}.
 */
package rosecleat.runtime;
