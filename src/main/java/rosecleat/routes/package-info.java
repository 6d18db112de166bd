/**
 * The table of routes: entries that any process may write, held alike everywhere, and what changed
 * between any two.
 */
package rosecleat.routes;
