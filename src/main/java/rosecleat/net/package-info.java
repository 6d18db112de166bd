/**
 * Asynchronous sockets on one event loop: connections, listeners, the clock, and what the parsers
 * of all wire formats share.
 *
 * <p>All state belongs to the loop's thread. The thread of the channel group only posts completed
 * operations to the loop, with one exception: {@link rosecleat.net.Connection} and {@link
 * rosecleat.net.Listener} mark there that an operation has completed, so that neither is closed
 * while its result is on the way.
 *
 * <p>Uses {@code rosecleat.core} for failures as values and {@code rosecleat.log}; knows no wire
 * format. Begin with {@link rosecleat.net.EventLoop} and the states of {@link
 * rosecleat.net.Connection}.
 */
package rosecleat.net;
