/**
 * The process round a node: its parts put together, kept alive, reloaded, handed over and ended.
 */
package rosecleat.node;
