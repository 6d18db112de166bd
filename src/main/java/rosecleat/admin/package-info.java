/**
 * The operators' door: a second address at which staff ask how the node is, and send its clients
 * away and back.
 */
package rosecleat.admin;
