/**
 * The client of the index, the downstream service that all nodes share.
 *
 * <p>Each connection carries one call at a time, so that a late or malformed reply affects no other
 * call. What a result says about whether the call ran is proven by how far it was sent. All state
 * belongs to the loop's thread.
 *
 * <p>Uses {@code rosecleat.net} for connections and reports results to {@code rosecleat.core}.
 * Begin with {@link rosecleat.index.IndexClient}; {@link rosecleat.index.IndexConnection} and
 * {@link rosecleat.index.ReplyParser} hold the protocol.
 */
package rosecleat.index;
