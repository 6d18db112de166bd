/**
 * A view of who is there that settles again: failure detection, rumours, records and their
 * reconciliation, as decisions driven by events, a clock and a given random source. Free of input
 * and output.
 */
package rosecleat.fleet;
