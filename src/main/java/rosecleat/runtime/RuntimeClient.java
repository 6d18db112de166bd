package rosecleat.runtime;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.Connector;
import rosecleat.net.EventLoop;
import rosecleat.net.LineBuffer;

/**
 * Runs requests in the machine's runtime: commands out, messages in, over one connection that is
 * made again whenever it is lost. A new connection begins with the number of the last message read,
 * so that each is applied exactly once; commands that a lost connection may have swallowed are sent
 * again where that is harmless. For the loop alone.
 */
public final class RuntimeClient implements Runner {
  private static final long CONNECT_TIMEOUT_US = 2_000_000;
  private static final long RECONNECT_DELAY_US = 100_000;
  private static final int MAX_LINE_BYTES = 1 << 20;

  /** The reference of regular requests for gauges. */
  private static final String POLL_REFERENCE = "g";

  /** The reference of the request whose answer shows that all missed messages were read. */
  private static final String RESUMED_REFERENCE = "resumed";

  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(16 << 10, 1 << 20, 4 << 20, 10_000_000);

  private final EventLoop loop;
  private final Core core;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final Connector connector;
  private final CommandTracker commands = new CommandTracker();
  private final KeepAlive keepAlive = new KeepAlive();

  /** The connection in use; null while there is none. */
  private Connection connection;

  /** Whether commands may be sent: the runtime has answered on the connection in use. */
  private boolean ready;

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
    connector = new Connector(loop, address, CONNECT_TIMEOUT_US, LIMITS, new ReconnectingHandler());
  }

  /** Connects, and connects again whenever the connection is lost. */
  public void connect() {
    connector.connect();
  }

  /**
   * Changes the runtime's address. The connection in use gets no further command, but its messages
   * are read until the new one is established; the runs go on, and the new connection brings all
   * messages that the old one did not.
   */
  public void setAddress(InetSocketAddress address) {
    if (connector.setAddress(Objects.requireNonNull(address))) {
      ready = false;
      commands.connectionLost(clock.getAsLong());
      connect();
    }
  }

  private final class ReconnectingHandler implements Connector.Handler {
    @Override
    public void connected(Connection established) {
      use(established);
    }

    @Override
    public void connectedToFormerAddress() {
      connect();
    }

    @Override
    public void failed(Failure failure, boolean addressChanged) {
      counters.add("runtime.unreached");
      loop.schedule(addressChanged ? 0 : RECONNECT_DELAY_US, RuntimeClient.this::connect);
    }
  }

  private void use(Connection established) {
    Connection previous = connection;
    connection = established;
    if (previous != null) {
      previous.closeGracefully(); // what it still brings comes again on the new one
    }
    ready = false;
    keepAlive.connectionReplaced();
    established.start(new MessageReader(established));
    write(RuntimeCommandEncoder.sync(lastSequence));
  }

  /** Reads the messages of one connection for as long as it is the one in use. */
  private final class MessageReader implements ConnectionHandler {
    private final Connection source;
    private final LineBuffer lines = new LineBuffer(MAX_LINE_BYTES);

    MessageReader(Connection source) {
      this.source = source;
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (connection != source) {
        return; // replaced by a newer connection
      }
      keepAlive.received(clock.getAsLong());
      if (!lines.append(bytes) || lines.lineTooLong()) {
        source.abort("the runtime sent a line that is too long");
        return;
      }
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        handleLine(line);
      }
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      if (connection == source) {
        reconnectAfter(failure);
      }
    }
  }

  /**
   * Reconnects at once, as the runtime goes on meanwhile; a connection that was never ready must
   * not be made again in a busy loop.
   */
  private void reconnectAfter(Failure failure) {
    log.warn("the link to the runtime ended: " + failure.message());
    boolean wasReady = ready;
    connection = null;
    ready = false;
    commands.connectionLost(clock.getAsLong());
    loop.schedule(
        wasReady ? 0 : RECONNECT_DELAY_US,
        () -> {
          if (connection == null) {
            connect();
          }
        });
  }

  /**
   * {@inheritDoc}
   *
   * <p>A start that a broken connection may have swallowed is sent again once all earlier messages
   * were read: for a run that goes on, the runtime ignores it. A run that had ended between that
   * reading and the repeat would run twice, which an idempotent request must not. Where each run
   * pauses at a downstream call first, it can't end unseen; elsewhere its start is not repeated.
   */
  @Override
  public void start(Request request, long deadlineUs) {
    boolean repeatable =
        request.idempotencyKey() == null || core.callsDownstream(request.classIndex());
    if (!send(request.id(), RuntimeCommandEncoder.start(request), repeatable)) {
      loop.execute( // reported like any other end, not inside this call
          () -> core.runEnded(request.id(), RunResult.UNREACHABLE, 0));
    }
  }

  @Override
  public void cancel(String id) {
    send(id, RuntimeCommandEncoder.cancel(id), true);
  }

  @Override
  public void completeCall(String id, byte[] reply) {
    send(id, RuntimeCommandEncoder.completeCall(id, reply), true);
  }

  @Override
  public void skipCall(String id, long callNumber) {
    send(id, RuntimeCommandEncoder.skipCall(id, callNumber), true);
  }

  @Override
  public void requestGauges() {
    long now = clock.getAsLong();
    keepAlive.poll(now);
    if (!ready) {
      return;
    }
    if (keepAlive.timedOut(now)) {
      abortSilentConnection(now);
    } else if (keepAlive.requestDue(now)) {
      keepAlive.requested(now);
      write(RuntimeCommandEncoder.requestGauges(POLL_REFERENCE));
    }
  }

  /** The runs go on, and a new connection brings the messages about them. */
  private void abortSilentConnection(long now) {
    counters.add("runtime.silent");
    log.warn(
        "the runtime has been silent for "
            + keepAlive.silenceUs(now) / 1000
            + " ms: its link is made anew");
    keepAlive.received(now);
    connection.abort("the runtime is silent");
  }

  /**
   * Sends a command, or queues it for the next connection: it has not been sent, so sending it then
   * is no repeat. False where it is neither, as too many are queued.
   */
  private boolean send(String runId, String line, boolean repeatable) {
    counters.add("runtime.commands");
    commands.supersede(runId);
    RunCommand command = new RunCommand(runId, line, repeatable, clock.getAsLong());
    if (ready && sendNow(command)) {
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
    if (connection == null || !write(command.line())) {
      return false;
    }
    commands.sent(command, clock.getAsLong());
    return true;
  }

  private boolean write(String line) {
    return connection.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.ISO_8859_1)));
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
    ready = true;
    log.info(
        "the runtime is up, " + message.state() + ", since " + message.uptimeUs() / 1000 + " ms");
    core.start(this, message.cold(), message.uptimeUs());
    if (commands.hasInDoubt()) {
      write(RuntimeCommandEncoder.requestGauges(RESUMED_REFERENCE));
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
    if (message.reference().equals(RESUMED_REFERENCE)) {
      resolveDoubts();
    }
    core.gaugesReceived(message.values());
  }

  /**
   * Resolves the commands in doubt, once all messages missed between connections were read: those
   * of runs that still show no effect of them are sent again where they may arrive twice, and the
   * other runs are ended.
   */
  private void resolveDoubts() {
    for (RunCommand command : commands.takeInDoubt()) {
      String runId = command.runId();
      if (command.repeatable()) {
        counters.add("runtime.resent");
        commands.resending(runId);
        if (!sendNow(command)) {
          commands.putInDoubt(command); // this connection has ended too
        }
      } else {
        counters.add("runtime.unproven");
        // ended now: nothing more will prove whether it runs
        core.runEnded(runId, RunResult.INTERRUPTED, 0);
      }
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
