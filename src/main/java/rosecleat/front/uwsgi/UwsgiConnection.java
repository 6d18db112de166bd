package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import rosecleat.config.Backend;
import rosecleat.config.ServiceOperation;
import rosecleat.config.UwsgiLimits;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.core.Progress;
import rosecleat.core.RequestHandle;
import rosecleat.core.Response;
import rosecleat.net.ClientMemory;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionUsage;
import rosecleat.net.MemoryPool;

/**
 * Handles one client's connection: reads the only request, submits it to the core and writes the
 * response. One timeout limits the reading of the request, another the writing of the response. All
 * methods must be called on the event loop.
 */
final class UwsgiConnection implements ConnectionHandler {
  private static final String PLAIN_TEXT = "text/plain; charset=utf-8";
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;

  /** Objects of a request in flight beside its vars and body. */
  private static final int REQUEST_OBJECT_BYTES = 3 << 10;

  /** Share of the memory for unread output that bodies may take; the rest is for other output. */
  private static final double BODIES_OUTPUT_SHARE = 0.75;

  private static final byte[] EMPTY_BODY = new byte[0];

  /**
   * A rejection that occurs this close to the deadline is due to lack of time, so the response
   * reports a timeout.
   */
  private static final long NEAR_DEADLINE_US = 50_000;

  private final UwsgiFrontend frontend;
  private final Connection connection;
  private final Counters counters;
  private final long acceptedAtUs;

  /** The memory of an incomplete request. */
  private final MemoryPool.Account inputMemory;

  /** The memory of a request in flight. */
  private final MemoryPool.Account requestMemory;

  /** The parser of the request; null once the request is complete or refused. */
  private UwsgiRequestParser parser;

  /** The timeout for reading the request; after the response, the timeout for writing it. */
  private Future<?> timeout;

  /** The request in flight; null before the request is submitted and after its response. */
  private RequestHandle request;

  private ServiceOperation operation;
  private long deadlineUs;
  private boolean requestComplete;
  private boolean responded;
  private boolean omitBody;

  /** The bytes that the response's body has reserved in the frontend's response budget. */
  private int reservedBytes;

  UwsgiConnection(UwsgiFrontend frontend, Connection connection) {
    this.frontend = frontend;
    this.connection = connection;
    counters = frontend.core().counters();
    UwsgiLimits limits = frontend.limits();
    parser = new UwsgiRequestParser(limits.packetBytes(), limits.bodyBytes());
    acceptedAtUs = frontend.clock().getAsLong();
    ClientMemory memory = frontend.clientMemory();
    inputMemory = memory.incompleteInput().openAccount(this::refuseForMemory);
    requestMemory = memory.requests().openAccount();
  }

  /** Starts to read the request, and schedules the read timeout. */
  void start() {
    timeout = frontend.loop().schedule(frontend.limits().requestTimeoutUs(), this::readTimedOut);
    connection.start(this);
  }

  /** Closes the connection once the request has been answered. */
  void closeGracefully() {
    connection.closeGracefully();
  }

  /** Closes the connection if it was accepted by the given time and nothing has been received. */
  void closeIfSilentSince(long acceptedBeforeUs) {
    if (!hasInput() && acceptedAtUs <= acceptedBeforeUs) {
      connection.closeGracefully();
    }
  }

  private void readTimedOut() {
    if (!requestComplete) {
      counters.add("uwsgi.slow");
      connection.closeGracefully();
    }
  }

  private boolean hasInput() {
    return requestComplete || parser.hasInput();
  }

  /** Reads the first request and ignores all bytes after it. */
  @Override
  public void received(ByteBuffer bytes) {
    if (requestComplete) {
      return;
    }
    if (parser.feed(bytes)) {
      UwsgiRequestParser complete = endInput();
      handle(complete);
    } else if (!inputMemory.tryHold(parser.heldBytes())) {
      refuseForMemory();
    }
  }

  /** Ends the reading of the request; returns its parser, to which no reference is kept. */
  private UwsgiRequestParser endInput() {
    UwsgiRequestParser ended = parser;
    parser = null;
    requestComplete = true;
    timeout.cancel(false);
    inputMemory.releaseAll();
    return ended;
  }

  /** Refuses a request for which the memory of clients has no room. */
  private void refuseForMemory() {
    if (!requestComplete) {
      endInput();
    }
    counters.add("uwsgi.noroom");
    respond(FailureResponses.noMemory(), PLAIN_TEXT);
  }

  private void handle(UwsgiRequestParser complete) {
    Optional<RequestError> error = complete.error();
    if (error.isPresent()) {
      respond(error.get().response(), PLAIN_TEXT);
    } else if (complete.packet().modifier1() == UwsgiPacket.MODIFIER_PING) {
      respondToPing();
    } else if (requestMemory.tryReserve(REQUEST_OBJECT_BYTES + complete.requestBytes())) {
      handle(complete.packet());
    } else {
      refuseForMemory();
    }
  }

  private void respondToPing() {
    responded = true;
    connection.write(UwsgiPacket.pong());
    connection.closeGracefully();
  }

  private void handle(UwsgiPacket packet) {
    counters.add("uwsgi.requests");
    omitBody = packet.var("REQUEST_METHOD").equals("HEAD");
    TranslationResult result =
        frontend
            .translator()
            .translate(packet, frontend.clock().getAsLong(), this::requestCompleted);
    if (result instanceof TranslationResult.Translated translated) {
      submit(translated);
    } else if (result instanceof TranslationResult.MethodQuery query) {
      Map<String, String> allow = Map.of("Allow", query.allowedMethods());
      respond(new HttpResponse(NO_CONTENT, allow, EMPTY_BODY), PLAIN_TEXT);
    } else if (result instanceof TranslationResult.Invalid invalid) {
      respond(invalid.error().response(), PLAIN_TEXT);
    }
  }

  private void submit(TranslationResult.Translated translated) {
    operation = translated.operation();
    deadlineUs = translated.request().arrivedAtUs() + translated.request().timeoutUs();
    RequestHandle submitted = frontend.core().submit(translated.request());
    if (!responded) { // the core may respond before submit returns
      request = submitted;
    }
  }

  /** Returns true: what a client sent that has gone is not started. */
  @Override
  public boolean discardsInputAtEnd() {
    return true;
  }

  /** Returns {@code UNUSED} only while nothing has been received. */
  @Override
  public ConnectionUsage usage() {
    return hasInput() ? ConnectionUsage.BUSY : ConnectionUsage.UNUSED;
  }

  @Override
  public boolean hasPendingResponses() {
    return requestComplete && !responded;
  }

  @Override
  public void closed(Failure failure, boolean endOfStream) {
    timeout.cancel(false);
    inputMemory.releaseAll();
    requestMemory.releaseAll();
    frontend.responseBudget().release(reservedBytes);
    frontend.connectionClosed(this, connection);
    if (failure.progress() != Progress.SENT) { // part of the response may not have been sent
      counters.add("uwsgi.cut");
    }
    if (request != null) {
      request.cancel();
    }
  }

  private void requestCompleted(Response response) {
    responded = true;
    request = null;
    if (response instanceof Response.Completed completed) {
      respondWithResult(completed.result());
    } else if (response instanceof Response.Rejected rejected) {
      respond(rejection(rejected), PLAIN_TEXT);
    } else if (response instanceof Response.Failed failed) {
      respond(failure(failed), PLAIN_TEXT);
    }
  }

  private HttpResponse rejection(Response.Rejected rejected) {
    return frontend.clock().getAsLong() >= deadlineUs - NEAR_DEADLINE_US
        ? FailureResponses.notStartedInTime()
        : FailureResponses.rejected(rejected);
  }

  private HttpResponse failure(Response.Failed failed) {
    if (failed.failure().progress().neverRan()
        && operation.backend() instanceof Backend.Fleet fleet
        && frontend.instances().hasNoAvailableInstance(fleet.service())) {
      return FailureResponses.noInstance(fleet.service());
    }
    return FailureResponses.failed(failed);
  }

  /** Writes a result: the response of a service, or only a body from the machine's runtime. */
  private void respondWithResult(byte[] result) {
    Optional<ServiceResponse> serviceResponse =
        operation.usesMachineRuntime() ? Optional.empty() : ServiceResponseCodec.decode(result);
    byte[] body = serviceResponse.map(ServiceResponse::body).orElse(result);
    if (!reserve(body.length)) {
      counters.add("uwsgi.noroom");
      frontend
          .log()
          .warn(
              "response body of "
                  + body.length
                  + " bytes not sent to client: limit is "
                  + frontend.limits().responseBytes()
                  + " bytes per response, "
                  + frontend.responseBudget().reservedBytes()
                  + " of "
                  + frontend.limits().bufferedResponseBytes()
                  + " bytes for all responses are in use");
      respond(FailureResponses.noCapacity(), PLAIN_TEXT);
      return;
    }
    String contentType = operation.contentType();
    if (serviceResponse.isPresent()) {
      ServiceResponse response = serviceResponse.get();
      write(response.status(), response.encodeHead(contentType), body);
    } else {
      respond(new HttpResponse(OK, Map.of(), body), contentType);
    }
  }

  /**
   * Reserves memory for a body; returns false if the body exceeds its limit or the budget, which is
   * also limited by the memory for unread output, so that no other response is cut off for it.
   */
  private boolean reserve(int bytes) {
    UwsgiLimits limits = frontend.limits();
    long outputBytes = frontend.clientMemory().output().limitBytes();
    long budgetBytes =
        Math.min(limits.bufferedResponseBytes(), (long) (BODIES_OUTPUT_SHARE * outputBytes));
    if (bytes > limits.responseBytes()
        || !frontend.responseBudget().tryReserve(bytes, budgetBytes)) {
      return false;
    }
    reservedBytes = bytes;
    return true;
  }

  private void respond(HttpResponse response, String contentType) {
    write(response.status(), response.encodeHead(contentType), response.body());
  }

  private void write(int status, ByteBuffer head, byte[] body) {
    responded = true;
    requestMemory.releaseAll();
    counters.add("uwsgi.status." + status);
    if (connection.write(head) && body.length > 0 && !omitBody) {
      connection.write(ByteBuffer.wrap(body));
    }
    connection.closeGracefully();
    timeout.cancel(false);
    timeout =
        frontend
            .loop()
            .schedule(
                frontend.limits().responseTimeoutUs(),
                () -> connection.abort("the reply was not taken in time"));
  }
}
