/**
 * A small storage engine: a log of records with snapshots, in a folder. It knows nothing of what it
 * keeps.
 */
package rosecleat.store;
