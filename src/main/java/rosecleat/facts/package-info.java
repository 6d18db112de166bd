/**
 * Learned estimates of a node, called facts: their decay, the rejection of invalid facts, the
 * merging of facts of the same key, and the selection of those that must be persisted again.
 *
 * <p>Facts are immutable values. {@link rosecleat.facts.FactAggregator} and {@link
 * rosecleat.facts.FactChangeFilter} are stateful and must be confined to one thread. The package
 * does no input or output and reads no clock: times are arguments, in Unix microseconds. It depends
 * on the Java standard library only.
 *
 * <p>Start reading at {@link rosecleat.facts.Fact} and {@link rosecleat.facts.FactAggregator}.
 */
package rosecleat.facts;
