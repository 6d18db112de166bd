package rosecleat.front.resp;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.core.RequestHandle;
import rosecleat.core.Response;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionUsage;
import rosecleat.net.MemoryPool;
import rosecleat.net.TextSyntax;

/**
 * Handles the protocol on one client's connection: reads messages, submits requests to the core and
 * writes the responses in the order in which they become available. All methods must be called on
 * the event loop.
 *
 * <p>If a client keeps sending invalid messages, it is first asked to close the connection, and
 * later reading stops. This class always closes a connection gracefully, so requests that have been
 * read are answered.
 */
final class RespConnection implements ConnectionHandler {
  private static final int MAX_STRING_BYTES = 4 << 10;
  private static final int MAX_IN_FLIGHT = 32;

  /** Most messages that are handled before other connections get their turn. */
  private static final int MAX_MESSAGES_PER_TURN = 8;

  private static final int COMMAND_INDEX = 0;
  private static final int TAG_INDEX = 1;
  private static final int MAX_TAG_DIGITS = 18;

  /** Time that a client has to close an unused connection after it was asked to. */
  private static final long CLOSE_TIMEOUT_US = 1_000_000;

  /**
   * Time limit for the first message, and for the rest of an incomplete one, until the client has
   * sent a valid request.
   */
  private static final long INITIAL_READ_TIMEOUT_US = 2_200_000;

  /** Time limit for the rest of an incomplete message of a client that has sent a valid request. */
  private static final long READ_TIMEOUT_US = 10_000_000;

  /**
   * Consecutive errors after which the client is asked to close the connection. More than one is
   * allowed, since a client that names an unknown class still sends valid requests of other
   * classes.
   */
  private static final int MAX_CONSECUTIVE_ERRORS = 64;

  /** Consecutive errors after which reading stops. */
  private static final int STOP_READING_ERRORS = 2 * MAX_CONSECUTIVE_ERRORS;

  private final RespFrontend frontend;
  private final Connection connection;
  private final Core core;
  private final Counters counters;
  private final LongSupplier clock;
  private final Log log;
  private RespParser parser = new RespParser(MAX_STRING_BYTES);
  private final TagWindow tags = new TagWindow();
  private final RequestsInFlight inFlight;

  /** The memory of an incomplete message and of the tags. */
  private final MemoryPool.Account inputMemory;

  private final long acceptedAtUs;
  private long lastActivityUs;

  /** Time at which the first bytes of an incomplete message were received; 0 if there is none. */
  private long partialMessageSinceUs;

  /** Time at which the client was asked to close the connection; 0 if it was not. */
  private long closeRequestedAtUs;

  /** Set if the last turn ended before its input did. */
  private boolean turnEnded;

  private int consecutiveErrors;
  private boolean messageReceived;
  private boolean validRequestReceived;

  /**
   * Set if the last message was a health check; such connections are exempt from the idle timeout.
   */
  private boolean usedForHealthChecks;

  /** Set once reading has stopped; requests read before are still answered. */
  private boolean readingStopped;

  /** Set once an incomplete message no longer delays the close of the connection. */
  private boolean partialMessageAbandoned;

  /**
   * Creates the handler of an accepted connection.
   *
   * @param frontend provides the current decoder and is notified when the connection ends
   */
  RespConnection(
      RespFrontend frontend, Connection connection, Core core, LongSupplier clock, Log log) {
    this.frontend = frontend;
    this.connection = connection;
    this.core = core;
    this.counters = core.counters();
    this.clock = clock;
    this.log = log;
    inputMemory =
        frontend.clientMemory().incompleteInput().openAccount(this::refuseIncompleteMessage);
    inFlight = new RequestsInFlight(frontend.clientMemory().requests().openAccount());
    acceptedAtUs = clock.getAsLong();
    lastActivityUs = acceptedAtUs;
  }

  /** Returns the underlying connection. */
  Connection connection() {
    return connection;
  }

  /** Returns whether part of a message has been received. */
  boolean isMidMessage() {
    return parser.isMidMessage();
  }

  /**
   * Closes once every request is answered, without waiting for the rest of an incomplete message.
   */
  void closeGracefully() {
    partialMessageAbandoned = true;
    connection.closeGracefully();
  }

  /**
   * Asks the client to close the connection if the node drains or the connection is idle, and
   * closes it if a timeout has expired.
   *
   * @param nowUs the current time
   * @param idleTimeoutUs the time for which the connection may be idle
   * @param draining whether all clients are asked to close their connections
   */
  void checkTimeouts(long nowUs, long idleTimeoutUs, boolean draining) {
    boolean idle =
        usage() != ConnectionUsage.BUSY
            && !usedForHealthChecks
            && nowUs - lastActivityUs > idleTimeoutUs;
    if (draining || idle) {
      requestClose(nowUs);
    }
    closeIfCloseRequestIgnored(nowUs);
    closeIfSlow(nowUs);
  }

  @Override
  public void received(ByteBuffer bytes) {
    turnEnded = false;
    if (!readingStopped) {
      lastActivityUs = clock.getAsLong();
      handleMessages(bytes);
    }
  }

  /** Returns true: what a client sent that has gone is not started. */
  @Override
  public boolean discardsInputAtEnd() {
    return true;
  }

  @Override
  public boolean leftInput() {
    return turnEnded && !readingStopped;
  }

  /** Handles messages until the input or this connection's turn ends. */
  private void handleMessages(ByteBuffer bytes) {
    try {
      int handled = 0;
      while (handled < MAX_MESSAGES_PER_TURN && !readingStopped && !connection.isClosed()) {
        Optional<RespMessage> message = parser.next(bytes);
        if (message.isEmpty()) {
          break;
        }
        messageReceived = true;
        partialMessageSinceUs = 0;
        handle(message.get());
        handled++;
      }
      turnEnded = handled == MAX_MESSAGES_PER_TURN;
      trackPartialMessage();
      if (!inputMemory.tryHold(parser.heldBytes() + tags.heldBytes())) {
        refuseIncompleteMessage();
      }
    } catch (RespProtocolException e) {
      counters.add("resp.malformed");
      log.warn("connection of a balancer is closed after malformed input: " + e.getMessage());
      stopReading();
    }
  }

  /** Ends the connection of a client whose incomplete message finds no memory. */
  private void refuseIncompleteMessage() {
    counters.add("resp.noroom");
    log.warn(
        "connection of a balancer is closed: no memory for "
            + parser.heldBytes()
            + " bytes of an incomplete message, "
            + frontend.clientMemory().incompleteInput().usedBytes()
            + " of "
            + frontend.clientMemory().incompleteInput().limitBytes()
            + " bytes are in use");
    stopReading();
  }

  /** Drops the rest of the input; requests read before are still answered. */
  private void stopReading() {
    readingStopped = true;
    parser = new RespParser(MAX_STRING_BYTES);
    inputMemory.releaseAll();
    requestCloseAndClose();
  }

  private void trackPartialMessage() {
    if (!parser.isMidMessage()) {
      partialMessageSinceUs = 0;
    } else if (partialMessageSinceUs == 0) {
      partialMessageSinceUs = lastActivityUs;
    }
  }

  /**
   * Returns whether requests are in flight or a message is incomplete, whose rest the client may be
   * about to send.
   */
  @Override
  public boolean hasPendingResponses() {
    return !inFlight.isEmpty()
        || (parser.isMidMessage() && !readingStopped && !partialMessageAbandoned);
  }

  @Override
  public ConnectionUsage usage() {
    if (!inFlight.isEmpty() || parser.isMidMessage()) {
      return ConnectionUsage.BUSY;
    }
    return messageReceived ? ConnectionUsage.IDLE : ConnectionUsage.UNUSED;
  }

  /** Cancels the requests in flight, since no client is left to receive their responses. */
  @Override
  public void closed(Failure failure, boolean endOfStream) {
    frontend.connectionClosed(this);
    inFlight.cancelAll();
    inputMemory.releaseAll();
  }

  private void handle(RespMessage message) {
    long tag = TextSyntax.parseNumber(message.text(TAG_INDEX), MAX_TAG_DIGITS);
    if (tag < 1) { // a response needs a tag; the messages after this one may still be valid
      counters.add("resp.malformed");
      log.warn("connection of a balancer is closed: message has no valid tag");
      requestCloseAndClose();
      countError();
      return;
    }
    switch (message.text(COMMAND_INDEX)) {
      case "DO" -> submit(tag, message);
      case "UNDO" -> cancel(tag);
      case "PING" -> checkHealth(tag);
      default -> rejectInvalid(tag, new RequestError(RequestError.Kind.UNKNOWN_COMMAND));
    }
  }

  private void submit(long tag, RespMessage message) {
    usedForHealthChecks = false;
    if (!tags.markUsed(tag)) {
      rejectInvalid(tag, new RequestError(RequestError.Kind.DUPLICATE_TAG));
      return;
    }
    if (inFlight.size() >= MAX_IN_FLIGHT) {
      rejectInvalid(tag, new RequestError(RequestError.Kind.TOO_MANY_IN_FLIGHT));
      return;
    }
    if (!inFlight.tryReserve(message)) {
      counters.add("resp.noroom");
      respond(tag, Response.rejected());
      return;
    }
    boolean[] responded = new boolean[1];
    DecodeResult decoded =
        frontend
            .decoder()
            .decode(
                message,
                response -> {
                  responded[0] = true;
                  inFlight.remove(tag);
                  respond(tag, response);
                });
    if (decoded instanceof DecodeResult.Decoded valid) {
      consecutiveErrors = 0;
      validRequestReceived = true;
      RequestHandle handle = core.submit(valid.request());
      if (responded[0]) {
        inFlight.release(message);
      } else {
        inFlight.add(tag, handle, message);
      }
    } else if (decoded instanceof DecodeResult.Invalid invalid) {
      inFlight.release(message);
      rejectInvalid(tag, invalid.error());
    }
  }

  private void cancel(long tag) {
    Optional<RequestHandle> handle = inFlight.remove(tag);
    if (handle.isPresent()) {
      counters.add("resp.undo");
      handle.get().cancel();
    }
  }

  private void checkHealth(long tag) {
    usedForHealthChecks = true;
    counters.add("resp.checks");
    connection.write(RespEncoder.health(tag, core.healthy(), core.loadAdvice()));
  }

  private void respond(long tag, Response response) {
    lastActivityUs = clock.getAsLong();
    connection.write(RespEncoder.response(tag, response, core.loadAdvice()));
  }

  private void rejectInvalid(long tag, RequestError error) {
    counters.add("resp.bad");
    log.warn("request of a balancer with tag " + tag + " is invalid: " + error.description());
    Response response = Response.invalidRequest(error.description());
    connection.write(RespEncoder.response(tag, response, core.loadAdvice()));
    countError();
  }

  /**
   * Counts consecutive errors, which protects other clients from one that floods the event loop
   * with invalid messages.
   */
  private void countError() {
    consecutiveErrors++;
    if (consecutiveErrors == MAX_CONSECUTIVE_ERRORS) {
      counters.add("resp.errant");
      requestCloseAndClose();
    }
    readingStopped |= consecutiveErrors >= STOP_READING_ERRORS;
  }

  private void requestCloseAndClose() {
    requestClose(lastActivityUs);
    connection.closeGracefully();
  }

  private void requestClose(long nowUs) {
    if (closeRequestedAtUs == 0) {
      closeRequestedAtUs = nowUs;
      counters.add("resp.bye");
      connection.write(RespEncoder.bye());
    }
  }

  private void closeIfCloseRequestIgnored(long nowUs) {
    if (closeRequestedAtUs > 0
        && nowUs - closeRequestedAtUs > CLOSE_TIMEOUT_US
        && nowUs - lastActivityUs > CLOSE_TIMEOUT_US) {
      connection.closeGracefully();
    }
  }

  /**
   * Closes the connection of a client that has sent no message or an incomplete one for too long,
   * since it occupies a connection and memory. A connection with requests in flight stays open,
   * because its client awaits responses.
   */
  private void closeIfSlow(long nowUs) {
    if (!inFlight.isEmpty() || partialMessageAbandoned || readingStopped || connection.isClosed()) {
      return;
    }
    long timeoutUs = validRequestReceived ? READ_TIMEOUT_US : INITIAL_READ_TIMEOUT_US;
    boolean firstMessageOverdue = !messageReceived && nowUs - acceptedAtUs > timeoutUs;
    boolean partialMessageOverdue =
        partialMessageSinceUs > 0 && nowUs - partialMessageSinceUs > timeoutUs;
    if (firstMessageOverdue || partialMessageOverdue) {
      counters.add("resp.slow");
      closeGracefully();
    }
  }
}
