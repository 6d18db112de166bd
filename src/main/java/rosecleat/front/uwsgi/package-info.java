/**
 * The uwsgi protocol in both directions: a frontend for web servers, and a runner that executes
 * requests on teams' services.
 *
 * <p>{@link rosecleat.front.uwsgi.UwsgiFrontend} listens; {@code UwsgiConnection} holds the state
 * of one connection with its one request. {@code UwsgiRequestParser} reads the request, {@code
 * OperationRouter} and {@code RequestTranslator} make a request of the core of it, {@code
 * HttpResponse} and {@code FailureResponses} encode what is sent back. {@link
 * rosecleat.front.uwsgi.UwsgiRunner} and {@code HttpResponseParser} are the client's side; {@code
 * ServiceResponseCodec} stores a service's response in a request's result.
 *
 * <p>All state belongs to the event loop's thread. The package may use {@code core}, {@code net},
 * {@code log} and the broker's configuration; where instances of a service are found is behind
 * {@link rosecleat.front.uwsgi.InstanceBalancer}. Begin reading with {@code UwsgiConnection}.
 */
package rosecleat.front.uwsgi;
