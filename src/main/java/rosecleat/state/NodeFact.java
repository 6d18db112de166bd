package rosecleat.state;

import rosecleat.facts.Fact;

/**
 * A fact together with the node that learned it.
 *
 * @param node the name of the node
 * @param fact the fact that the node learned
 */
public record NodeFact(String node, Fact fact) {}
