/**
 * The frontend for RESP2 clients, the platform's load balancers.
 *
 * <p>{@link rosecleat.front.resp.RespFrontend} listens and keeps the set of connections. {@code
 * RespConnection} holds the protocol state of one of them: {@code RespParser} splits the stream
 * into messages, {@code RequestDecoder} makes requests of them by the {@link
 * rosecleat.front.resp.RequestCatalog} in force, and {@code RespEncoder} writes the responses.
 * Invalid input is a typed value: {@code RespProtocolException} ends a connection, a {@code
 * RequestError} fails one request.
 *
 * <p>All state belongs to the event loop's thread. The package may use {@code core}, {@code net}
 * and {@code log}; it knows nothing of what executes requests or decides on them. Begin reading
 * with {@code RespConnection}.
 */
package rosecleat.front.resp;
