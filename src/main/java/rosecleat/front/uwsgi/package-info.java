/**
 * The uwsgi protocol in both directions: a frontend for web servers, and a runner that executes
 * requests on the services of teams.
 *
 * <p>{@link rosecleat.front.uwsgi.UwsgiFrontend} listens; {@code UwsgiConnection} has the state of
 * one connection and its single request. {@code UwsgiRequestParser} reads the request, {@code
 * OperationRouter} and {@code RequestTranslator} translate it into a request of the core, {@code
 * HttpResponse} and {@code FailureResponses} encode the response. {@link
 * rosecleat.front.uwsgi.UwsgiRunner} and {@code HttpResponseParser} are the client side of the
 * protocol; {@code ServiceResponseCodec} encodes a service's response as a request's result.
 *
 * <p>All state belongs to the event loop's thread. The package may use {@code core}, {@code net},
 * {@code log} and the broker's configuration; {@link rosecleat.front.uwsgi.InstanceBalancer}
 * separates it from the choice of a service's instance. Start reading at {@code UwsgiConnection}.
 */
package rosecleat.front.uwsgi;
