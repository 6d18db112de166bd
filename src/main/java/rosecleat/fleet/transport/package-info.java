/** The task that carries a fleet's decisions out: its sockets, its state, its mailbox. */
package rosecleat.fleet.transport;
