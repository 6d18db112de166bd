/** What a node keeps over its restarts: lessons of the module as facts, in a store. */
package rosecleat.state;
