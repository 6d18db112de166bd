/**
 * Learned estimates ("facts") of a node: how they decay, which are rejected, how two of one key are
 * merged, and which are worth writing again.
 *
 * <p>Facts are immutable values. {@link rosecleat.facts.FactAggregator} and {@link
 * rosecleat.facts.FactChangeFilter} hold state for the one thread that calls them. The package does
 * no input or output and reads no clock: times are arguments, in Unix microseconds. It depends on
 * the Java library alone.
 *
 * <p>Begin with {@link rosecleat.facts.Fact} and {@link rosecleat.facts.FactAggregator}.
 */
package rosecleat.facts;
