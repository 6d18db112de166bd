/** Reports to the list of nodes. */
package rosecleat.registry;
