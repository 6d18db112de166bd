/** Calls to the index that all nodes share. */
package rosecleat.index;
