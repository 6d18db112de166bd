/**
 * Client of the index, the downstream service that all nodes share.
 *
 * <p>Each connection carries one call at a time, so that a late or malformed reply affects no other
 * call. A result states whether the call may have run according to how far it was sent. All state
 * belongs to the event loop's thread.
 *
 * <p>The package uses {@code rosecleat.net} for connections and reports results to {@code
 * rosecleat.core}. Start reading at {@link rosecleat.index.IndexClient}; {@link
 * rosecleat.index.IndexConnection} and {@link rosecleat.index.ReplyParser} implement the protocol.
 */
package rosecleat.index;
