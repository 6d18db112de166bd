/**
 * The frontend for RESP2 clients, the platform's load balancers.
 *
 * <p>{@link rosecleat.front.resp.RespFrontend} listens and maintains the set of connections. {@code
 * RespConnection} has the protocol state of one connection: {@code RespParser} splits the stream
 * into messages, {@code RequestDecoder} converts them to requests using the current {@link
 * rosecleat.front.resp.RequestCatalog}, and {@code RespEncoder} encodes the responses. Errors in
 * the input are typed: a {@code RespProtocolException} ends the connection, and a {@code
 * RequestError} fails a single request.
 *
 * <p>All state is confined to the event loop's thread. The package may use {@code core}, {@code
 * net} and {@code log}, and is independent of the code that executes requests or decides on them.
 * Start reading with {@code RespConnection}.
 */
package rosecleat.front.resp;
