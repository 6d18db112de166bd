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
 * Runs requests in the machine's runtime: commands out, messages in, over one connection that is
 * made again whenever it is lost. A new connection begins with the number of the last message read,
 * so that each is applied exactly once. Commands that may be lost with a connection are sent again
 * where that is harmless; gauges that are answered prove that all commands written before have
 * arrived. For the loop alone.
 */
public final class RuntimeClient implements Runner {
  /** Begins the references of requests for gauges; the number of commands sent before follows. */
  private static final String ACKNOWLEDGEMENT_REFERENCE_PREFIX = "g";

  /** The reference of the request whose answer shows that all missed messages were read. */
  private static final String RESUME_REFERENCE = "resumed";

  private final EventLoop loop;
  private final Core core;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final RuntimeLink link;
  private final CommandTracker commands = new CommandTracker();
  private final KeepAlive keepAlive = new KeepAlive();

  /** The number of the last message read. */
  private long lastSequence;

  /** Creates a client of the runtime at an address; {@link #connect} connects it. */
  public RuntimeClient(
      EventLoop loop, InetSocketAddress address, Core core, LongSupplier clock, Log log) {
    this.loop = loop;
    this.core = core;
    this.clock = clock;
    this.log = log;
    counters = core.counters();
    link = new RuntimeLink(loop, address, counters, log, new LinkHandler());
  }

  /** Connects, and connects again whenever the connection is lost. */
  public void connect() {
    link.connect();
  }

  /**
   * Changes the runtime's address. The connection in use gets no further command, but its messages
   * are read until the new one is established and the old one has proven which commands arrived;
   * the runs go on, and the new connection brings all messages that the old one did not.
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
   * <p>A start that may be lost with a connection is sent again, once all earlier messages were
   * read, only where the request may run twice: for a run that goes on, the runtime ignores it, but
   * one that ended between that reading and the repeat runs a second time.
   */
  @Override
  public void start(Request request, DeliveryGuarantee guarantee, long deadlineUs) {
    String line = RuntimeCommandEncoder.start(request);
    RunCommand.Recovery recovery =
        guarantee == DeliveryGuarantee.AT_LEAST_ONCE
            ? RunCommand.Recovery.RESEND
            : RunCommand.Recovery.END_RUN;
    if (!send(request.id(), line, recovery)) {
      loop.execute( // reported like any other end, not inside this call
          () -> core.runEnded(request.id(), RunResult.UNREACHABLE, 0));
    }
  }

  @Override
  public void cancel(String id) {
    send(id, RuntimeCommandEncoder.cancel(id), RunCommand.Recovery.RESEND);
  }

  /**
   * {@inheritDoc}
   *
   * <p>A reply names no call. One that may be lost is not sent again: the run may wait for its next
   * call by then, and would take it for the reply to that.
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

  /** Requests the gauges; their answer proves that the commands sent so far have arrived. */
  private void requestAcknowledgement() {
    link.write(
        RuntimeCommandEncoder.requestGauges(
            ACKNOWLEDGEMENT_REFERENCE_PREFIX + commands.sentCount()));
  }

  /** The runs go on, and a new connection brings the messages about them. */
  private void abortSilentConnection(long now) {
    counters.add("runtime.silent");
    log.warn(
        "the runtime has been silent for "
            + keepAlive.silenceUs(now) / 1000
            + " ms: its link is made anew");
    keepAlive.received(now);
    link.abort("the runtime is silent");
  }

  /**
   * Sends a command, or queues it for the next connection: it has not been sent, so sending it then
   * is no repeat. False where it is neither, as too many are queued.
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

  /** Sends a command on the connection in use; false, with no byte sent, where it has ended. */
  private boolean sendNow(RunCommand command) {
    if (!link.write(command.line())) {
      return false;
    }
    commands.sent(command);
    return true;
  }

  /** Handles one line; one that can't be read is skipped, and the connection is used on. */
  private void handleLine(String line) {
    Optional<RuntimeMessage> message = RuntimeMessage.parse(line);
    if (message.isEmpty()) {
      counters.add("runtime.unread");
      log.warn("the runtime sent what is no message: " + line);
    } else if (advanceSequence(message.get())) {
      dispatch(message.get());
    }
  }

  /** Returns false where the message was handled on an earlier connection. */
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
    commands.acknowledge(message.runId()); // the run has moved on: its last command arrived
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
        "the runtime is up, " + message.state() + ", since " + message.uptimeUs() / 1000 + " ms");
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
      core.resumeRejected(message.runId()); // the run waits for a call that can't be made
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

  /** How many commands the answer to a request for gauges proves to have arrived. */
  private static long acknowledgedCount(String reference) {
    try {
      return Long.parseLong(reference.substring(ACKNOWLEDGEMENT_REFERENCE_PREFIX.length()));
    } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
      return 0; // none of our references: it proves nothing
    }
  }

  /**
   * Resolves the commands in doubt, once all messages missed between connections were read, and the
   * runs in question still show no effect of them.
   */
  private void resolveCommandsInDoubt() {
    for (RunCommand command : commands.takeInDoubt()) {
      switch (command.recovery()) {
        case RESEND -> resend(command);
        case END_RUN -> {
          counters.add("runtime.unproven");
          // ended now: nothing more will prove whether it runs
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
      commands.putInDoubt(command); // this connection has ended too
    }
  }

  private void handleCommandRejected(String runId, String command) {
    log.warn("the runtime did not carry out " + command + " for " + runId);
    if (commands.wasResent(runId)) {
      return; // the command had arrived before, by the connection that broke
    }
    commands.acknowledge(runId);
    switch (command) {
      case "start" -> core.startRejected(runId);
      case "give", "omit" -> core.resumeRejected(runId);
      default -> {
        // the cancellation of a run that has ended
      }
    }
  }

  /** Decodes a payload; empty, and counted, where it is malformed. */
  private Optional<byte[]> decode(String encoded) {
    try {
      return Optional.of(Base64.getDecoder().decode(encoded));
    } catch (IllegalArgumentException e) {
      counters.add("runtime.unread");
      log.warn("the runtime sent a body that is no base64");
      return Optional.empty();
    }
  }
}
