/**
 * What the processes of one node share while one takes over from another: marks, an operators'
 * word, and keys.
 */
package rosecleat.takeover;
