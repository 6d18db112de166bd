/**
 * The admin server: a second listening address at which operators and health probes query a node
 * and start or end its draining.
 *
 * <p>{@link rosecleat.admin.AdminServer} accepts connections, with one request each, and enforces
 * their limits. {@code HttpRequestParser} parses the request, and {@code AdminRouter} maps it to an
 * operation and a response. The node implements the operations in {@link
 * rosecleat.admin.AdminOperations}.
 *
 * <p>All state is per connection and confined to the event loop's thread. The package depends only
 * on {@code net}, {@code log} and the counters and failures of {@code core}. Start reading with
 * {@link rosecleat.admin.AdminServer}.
 */
package rosecleat.admin;
