/**
 * The admin server: a second listening address at which operators and probes query a node and start
 * or end its draining.
 *
 * <p>{@link rosecleat.admin.AdminServer} accepts connections and enforces their bounds; each
 * carries one request. {@code HttpRequestParser} reads the request, {@code AdminRouter} maps it to
 * an operation and a response. What a request does is behind {@link
 * rosecleat.admin.AdminOperations}, which the node implements.
 *
 * <p>All state is per connection and belongs to the event loop's thread. The package uses {@code
 * net}, {@code log} and the counters and failures of {@code core}, and nothing else. Begin reading
 * with {@link rosecleat.admin.AdminServer}.
 */
package rosecleat.admin;
