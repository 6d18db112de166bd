package rosecleat.runtime;

import java.net.InetSocketAddress;
import java.util.Base64;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.DeliveryGuarantee;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/**
 * Runs requests in the machine's runtime: sends commands and receives messages over one connection,
 * which is re-established whenever it is lost. A new connection begins with the number of the last
 * message read, so that each message is applied exactly once. Commands that may have been lost with
 * a connection are sent again if repeating them is harmless. An answer to a request for gauges
 * acknowledges all commands written before the request. Used on the event loop only.
 */
public final class RuntimeClient implements Runner {
  /**
   * Prefix of the reference of a request for gauges; the number of commands sent before it follows.
   */
  private static final String ACKNOWLEDGEMENT_REFERENCE_PREFIX = "g";

  /** Reference of the request whose answer shows that all missed messages have been read. */
  private static final String RESUME_REFERENCE = "resumed";

  private final EventLoop loop;
  private final Core core;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final RuntimeLink link;
  private final CommandTracker commands = new CommandTracker();
  private final KeepAlive keepAlive = new KeepAlive();

  /** Sequence number of the last message read. */
  private long lastSequence;

  /** Creates a client of the runtime at an address; {@link #connect} establishes the connection. */
  public RuntimeClient(
      EventLoop loop, InetSocketAddress address, Core core, LongSupplier clock, Log log) {
    this.loop = loop;
    this.core = core;
    this.clock = clock;
    this.log = log;
    counters = core.counters();
    link = new RuntimeLink(loop, address, counters, log, new LinkHandler());
  }

  /** Connects, and reconnects whenever the connection is lost. */
  public void connect() {
    link.connect();
  }

  /**
   * Changes the runtime's address. No further commands are sent on the current connection, but its
   * messages are read until the new connection is established and the runtime has acknowledged the
   * commands sent on the old one. Runs in progress continue, and the new connection delivers all
   * messages that the old one did not.
   */
  public void setAddress(InetSocketAddress address) {
    link.setAddress(address);
  }

  private final class LinkHandler implements RuntimeLink.Handler {
    @Override
    public void connected() {
      keepAlive.connectionReplaced();
      link.write(RuntimeCommandEncoder.sync(lastSequence));
    }

    @Override
    public void received(String line) {
      keepAlive.received(clock.getAsLong());
      handleLine(line);
    }

    @Override
    public void lost() {
      commands.connectionLost();
    }

    @Override
    public boolean needsAcknowledgement() {
      return commands.hasUnacknowledged();
    }

    @Override
    public void requestAcknowledgement() {
      RuntimeClient.this.requestAcknowledgement();
    }
  }

  /**
   * {@inheritDoc}
   *
   * <p>A start that a broken connection may have lost is sent again only if the request may run
   * twice, and only after all missed messages have been read. The runtime ignores a repeated start
   * of a run that is in progress, but a run that ends after those messages were read and before the
   * repeated start arrives is executed a second time.
   */
  @Override
  public void start(Request request, DeliveryGuarantee guarantee, long deadlineUs) {
    String line = RuntimeCommandEncoder.start(request);
    RunCommand.Recovery recovery =
        guarantee == DeliveryGuarantee.AT_LEAST_ONCE
            ? RunCommand.Recovery.RESEND
            : RunCommand.Recovery.END_RUN;
    if (!send(request.id(), line, recovery)) {
      // reported asynchronously like any other end, not inside this call
      loop.execute(() -> core.runEnded(request.id(), RunResult.UNREACHABLE, 0));
    }
  }

  @Override
  public void cancel(String id) {
    send(id, RuntimeCommandEncoder.cancel(id), RunCommand.Recovery.RESEND);
  }

  /**
   * {@inheritDoc}
   *
   * <p>A reply does not name its call, so a reply that may have been lost is not sent again: the
   * run may be waiting for its next call by then, and would accept the repeated reply for that
   * call.
   */
  @Override
  public void completeCall(String id, byte[] reply) {
    send(id, RuntimeCommandEncoder.completeCall(id, reply), RunCommand.Recovery.CANCEL_RUN);
  }

  @Override
  public void skipCall(String id, long callNumber) {
    send(id, RuntimeCommandEncoder.skipCall(id, callNumber), RunCommand.Recovery.RESEND);
  }

  @Override
  public void requestGauges() {
    long now = clock.getAsLong();
    keepAlive.poll(now);
    if (!link.isReady()) {
      return;
    }
    if (keepAlive.timedOut(now)) {
      abortSilentConnection(now);
    } else if (keepAlive.requestDue(now)) {
      keepAlive.requested(now);
      requestAcknowledgement();
    }
  }

  /** Requests the gauges; their arrival acknowledges all commands sent so far. */
  private void requestAcknowledgement() {
    link.write(
        RuntimeCommandEncoder.requestGauges(
            ACKNOWLEDGEMENT_REFERENCE_PREFIX + commands.sentCount()));
  }

  /** Aborts the connection. The runs continue, and the new connection delivers their messages. */
  private void abortSilentConnection(long now) {
    counters.add("runtime.silent");
    log.warn(
        "connection to the runtime aborted: nothing received for "
            + keepAlive.silenceUs(now) / 1000
            + " ms");
    keepAlive.received(now);
    link.abort("the runtime is silent");
  }

  /**
   * Sends a command, or queues it for the next connection. A queued command has not been sent
   * before, so sending it later is not a resend. Returns false if the command is neither sent nor
   * queued, because the queue is full.
   */
  private boolean send(String runId, String line, RunCommand.Recovery recovery) {
    counters.add("runtime.commands");
    commands.supersede(runId);
    RunCommand command = new RunCommand(runId, line, recovery);
    if (link.isReady() && sendNow(command)) {
      return true;
    }
    if (!commands.queue(command)) {
      counters.add("runtime.dropped");
      return false;
    }
    return true;
  }

  /**
   * Sends a command on the connection in use; returns false, with no byte sent, if the connection
   * has ended.
   */
  private boolean sendNow(RunCommand command) {
    if (!link.write(command.line())) {
      return false;
    }
    commands.sent(command);
    return true;
  }

  /** Handles one line. A malformed line is skipped, and the connection stays in use. */
  private void handleLine(String line) {
    Optional<RuntimeMessage> message = RuntimeMessage.parse(line);
    if (message.isEmpty()) {
      counters.add("runtime.unread");
      log.warn("runtime sent a malformed message: " + line);
    } else if (advanceSequence(message.get())) {
      dispatch(message.get());
    }
  }

  /**
   * Records the message's sequence number; returns false if the message was handled before, on an
   * earlier connection.
   */
  private boolean advanceSequence(RuntimeMessage message) {
    long sequence = message.sequence();
    if (sequence <= 0) {
      return true; // not numbered
    }
    if (sequence <= lastSequence) {
      counters.add("runtime.repeated");
      return false;
    }
    lastSequence = sequence;
    // the message is about the run's progress, so the run's last command has arrived
    commands.acknowledge(message.runId());
    return true;
  }

  private void dispatch(RuntimeMessage message) {
    RuntimeMessage.Body body = message.body();
    if (body instanceof RuntimeMessage.Ready readiness) {
      handleReady(readiness);
    } else if (body instanceof RuntimeMessage.RunEnded end) {
      handleRunEnded(message.runId(), end);
    } else if (body instanceof RuntimeMessage.CallRequested call) {
      handleCallRequested(message, call);
    } else if (body instanceof RuntimeMessage.Gauges gauges) {
      handleGauges(gauges);
    } else if (body instanceof RuntimeMessage.CommandRejected rejection) {
      handleCommandRejected(message.runId(), rejection.command());
    }
  }

  private void handleReady(RuntimeMessage.Ready message) {
    link.markReady();
    log.info(
        "runtime is ready: " + message.state() + ", up for " + message.uptimeUs() / 1000 + " ms");
    core.start(this, message.cold(), message.uptimeUs());
    if (commands.hasInDoubt()) {
      link.write(RuntimeCommandEncoder.requestGauges(RESUME_REFERENCE));
    }
    while (commands.hasQueued() && sendNow(commands.firstQueued())) {
      commands.removeFirstQueued();
    }
  }

  private void handleRunEnded(String runId, RuntimeMessage.RunEnded message) {
    Optional<byte[]> result = decode(message.encodedResult());
    core.runEnded(
        runId,
        result.isEmpty() ? RunResult.INTERRUPTED : message.result(),
        result.orElse(null),
        message.tookUs());
  }

  private void handleCallRequested(
      RuntimeMessage message, RuntimeMessage.CallRequested callRequested) {
    Optional<byte[]> body = decode(callRequested.encodedBody());
    if (body.isPresent()) {
      core.callRequested(message.runId(), message.sequence(), body.get());
    } else {
      core.resumeRejected(message.runId()); // the run waits for a call that cannot be made
    }
  }

  private void handleGauges(RuntimeMessage.Gauges message) {
    keepAlive.gaugesReceived();
    if (message.reference().equals(RESUME_REFERENCE)) {
      resolveCommandsInDoubt();
    } else {
      commands.acknowledgeThrough(acknowledgedCount(message.reference()));
      link.acknowledgementReceived();
    }
    core.gaugesReceived(message.values());
  }

  /** Returns how many commands an answer to a request for gauges acknowledges. */
  private static long acknowledgedCount(String reference) {
    try {
      return Long.parseLong(reference.substring(ACKNOWLEDGEMENT_REFERENCE_PREFIX.length()));
    } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
      return 0; // not a reference of this client, so it acknowledges no command
    }
  }

  /**
   * Resolves the commands in doubt once all messages missed between connections have been read and
   * have shown no effect of these commands.
   */
  private void resolveCommandsInDoubt() {
    for (RunCommand command : commands.takeInDoubt()) {
      switch (command.recovery()) {
        case RESEND -> resend(command);
        case END_RUN -> {
          counters.add("runtime.unproven");
          // no later message will show whether the run executes, so it is ended now
          core.runEnded(command.runId(), RunResult.INTERRUPTED, 0);
        }
        case CANCEL_RUN -> {
          counters.add("runtime.unproven");
          core.resumeUnproven(command.runId());
        }
        default -> throw new IllegalArgumentException(command.recovery().name());
      }
    }
  }

  private void resend(RunCommand command) {
    counters.add("runtime.resent");
    commands.markResent(command.runId());
    if (!sendNow(command)) {
      commands.putInDoubt(command); // this connection has ended as well
    }
  }

  private void handleCommandRejected(String runId, String command) {
    log.warn("runtime rejected command " + command + " for run " + runId);
    if (commands.wasResent(runId)) {
      return; // the first command had arrived, on the connection that broke
    }
    commands.acknowledge(runId);
    switch (command) {
      case "start" -> core.startRejected(runId);
      case "give", "omit" -> core.resumeRejected(runId);
      default -> {
        // a cancellation of a run that has already ended
      }
    }
  }

  /** Decodes a base64 payload; returns empty and counts the message if the payload is malformed. */
  private Optional<byte[]> decode(String encoded) {
    try {
      return Optional.of(Base64.getDecoder().decode(encoded));
    } catch (IllegalArgumentException e) {
      counters.add("runtime.unread");
      log.warn("runtime sent a malformed payload: not valid base64");
      return Optional.empty();
    }
  }
}
