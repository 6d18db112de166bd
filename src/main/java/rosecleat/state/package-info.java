/**
 * Preserves the estimates of the policy engine across restarts of a node, as facts in a store.
 *
 * <p>{@link rosecleat.state.StateStoreOpener} opens the store on a thread of its own and publishes
 * what it recovers. {@link rosecleat.state.StateStore} runs on the node's loop: it passes the
 * recovered facts to the policy engine and saves changed ones at intervals. Saving takes place on a
 * saver thread, which also tracks which facts were saved. {@link rosecleat.state.FactState} is the
 * state that results from replaying the store; {@link rosecleat.state.FactCodec} defines the form
 * of the stored records.
 *
 * <p>The package uses {@code rosecleat.store}, {@code rosecleat.facts}, {@code rosecleat.policy},
 * the counters and the log, and does not depend on any network protocol. Begin with {@link
 * rosecleat.state.StateStore}.
 */
package rosecleat.state;
