/**
 * Asynchronous channels on one loop: connections, listeners, the clock, and pieces that parsers
 * share.
 */
package rosecleat.net;
