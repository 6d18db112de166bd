/**
 * Keeps what the policy engine learned across restarts of a node, as facts in a store.
 *
 * <p>{@link rosecleat.state.StateStoreOpener} opens the store on a thread of its own and publishes
 * what it recovers. {@link rosecleat.state.StateStore} belongs to the node's loop: it passes the
 * recovered facts to the policy engine and saves changed ones at intervals, on a saver thread that
 * also owns the record of what was saved. {@link rosecleat.state.FactState} is the state that
 * replaying the store leads to; {@link rosecleat.state.FactCodec} defines the stored records.
 *
 * <p>The package uses {@code rosecleat.store}, {@code rosecleat.facts}, {@code rosecleat.policy},
 * the counters and the log, and knows no network protocol. Begin with {@link
 * rosecleat.state.StateStore}.
 */
package rosecleat.state;
