/**
 * Asynchronous sockets on one event loop: connections, listeners, a clock, and helpers for the
 * parsers of all wire formats.
 *
 * <p>All state is confined to the loop's thread. The I/O thread of the channel group only posts
 * completed operations to the loop, with two exceptions: {@code InputReader} reads on there until
 * the socket has no more input, and {@link rosecleat.net.Listener} sets a flag that an accept has
 * completed. Neither a connection nor a listener is closed before the loop has handled the result.
 *
 * <p>The package uses the failure values of {@code rosecleat.core} and {@code rosecleat.log}, and
 * is independent of any wire format. Start reading with {@link rosecleat.net.EventLoop} and the
 * states of {@link rosecleat.net.Connection}.
 */
package rosecleat.net;
