package rosecleat.runtime;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.log.Log;
import rosecleat.net.ConnectHandler;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;
import rosecleat.net.LineBuffer;

/**
 * The link to the machine's runtime: commands out, notices in, each notice applied once. A link
 * that breaks is made anew with the number of the last notice read.
 */
public final class RuntimeClient implements Runner {
  private static final long DIAL_US = 2_000_000;
  private static final long RETRY_US = 100_000;
  private static final long GAUGES_US = 200_000;

  /**
   * A link that stood and brought nothing for so long, though gauges were asked for, is taken for
   * dead (us).
   */
  private static final long SILENT_US = 3_000_000;

  private static final long STOOD_US = 500_000;
  private static final int LONGEST = 1 << 20;
  private static final int WAITING = 4_096;

  /**
   * A broken link loses no command older than 50 ms; so much earlier than we hear of the break is
   * surely older (us).
   */
  private static final long DOUBT_US = 1_000_000;

  private static final String RESUMED = "resumed";
  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(16 << 10, 1 << 20, 4 << 20, 10_000_000);

  /**
   * A command for a run, sent at a time or still to be sent, and whether sending it again is no
   * harm where it had arrived.
   */
  private record Command(String id, String line, boolean repeatable, long atUs) {}

  private final EventLoop loop;
  private final Core core;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final ArrayDeque<Command> unsent = new ArrayDeque<>();

  /**
   * The last command of each run, sent on the link in use, that the runtime has shown no effect of.
   */
  private final Map<String, Command> unproven = new LinkedHashMap<>();

  /** Those of links before, which may have swallowed them. */
  private final Map<String, Command> suspect = new LinkedHashMap<>();

  private final Set<String> repeated = new HashSet<>();
  private InetSocketAddress address;
  private Connection link;
  private boolean dialling;
  private boolean ready;
  private long lastNotice;
  private long gaugesAskedUs;
  private long heardUs;
  private long askedUs;
  private boolean gaugesOut;

  /** A link to an address; {@link #connect} opens it. */
  public RuntimeClient(
      EventLoop loop, InetSocketAddress address, Core core, LongSupplier clock, Log log) {
    this.loop = loop;
    this.address = address;
    this.core = core;
    this.clock = clock;
    this.log = log;
    counters = core.counters();
  }

  /** Opens the link, and opens it again whenever it is lost. */
  public void connect() {
    if (dialling) {
      return; // one link at a time, however often it is lost or moved
    }
    dialling = true;
    InetSocketAddress to = address;
    Connection.connect(
        loop,
        to,
        DIAL_US,
        LIMITS,
        new ConnectHandler() {
          @Override
          public void connected(Connection connection) {
            dialling = false;
            if (to.equals(address)) {
              adopt(connection);
            } else { // it has moved meanwhile
              connection.abort("the runtime has moved"); // nothing was said on it
              connect();
            }
          }

          @Override
          public void failed(Failure failure) {
            dialling = false;
            counters.add("runtime.unreached");
            loop.schedule(to.equals(address) ? RETRY_US : 0, RuntimeClient.this::connect);
          }
        });
  }

  /**
   * The runtime is reached elsewhere from now on. The link in use gets no further command, but its
   * notices are read until the new one stands; the runs go on, and the new link tells all that the
   * old one did not.
   */
  public void setAddress(InetSocketAddress to) {
    if (!to.equals(address)) {
      address = to;
      ready = false;
      suspectLast();
      connect();
    }
  }

  /**
   * No further command goes by the link in use: the last ones may be lost with it, all earlier ones
   * have arrived.
   */
  private void suspectLast() {
    long sinceUs = clock.getAsLong() - DOUBT_US;
    unproven.values().stream()
        .filter(command -> command.atUs >= sinceUs)
        .forEach(command -> suspect.put(command.id, command));
    unproven.clear();
  }

  private void adopt(Connection connection) {
    Connection old = link;
    link = connection;
    if (old != null) {
      old.closeGracefully(); // what it still brings comes again on this one
    }
    ready = false;
    gaugesOut = false;
    LineBuffer lines = new LineBuffer(LONGEST);
    connection.start(
        new ConnectionHandler() {
          @Override
          public void received(ByteBuffer bytes) {
            if (link != connection) {
              return; // replaced by a newer link
            }
            heardUs = clock.getAsLong();
            if (!lines.append(bytes) || lines.lineTooLong()) {
              connection.abort("the runtime sent a line that is too long");
              return;
            }
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
              notice(line);
            }
          }

          @Override
          public void closed(Failure failure, boolean endOfStream) {
            if (link != connection) {
              return;
            }
            log.warn("the link to the runtime ended: " + failure.message());
            boolean stood = ready;
            link = null;
            ready = false;
            suspectLast();
            // at once, as the runtime goes on meanwhile; a link that never stood must not be made
            // again in a whirl
            loop.schedule(
                stood ? 0 : RETRY_US,
                () -> {
                  if (link == null) {
                    connect();
                  }
                });
          }
        });
    write("{\"type\":\"sync\",\"n\":" + lastNotice + "}");
  }

  // ---- commands

  /**
   * A start that a broken link may have swallowed is sent again once all earlier notices were read:
   * for a run that goes on, nothing happens then. One that had ended between that reading and the
   * repeat would run twice, which a keyed request must not. Where each run stands still at a call
   * first, it can't end unseen; elsewhere it is not repeated.
   */
  @Override
  public void start(Request request, long dueUs) {
    String command =
        "{\"type\":\"start\",\"job\":\""
            + request.id()
            + "\",\"kind\":\""
            + request.className()
            + "\",\"data\":\""
            + base64(request.body())
            + "\"}";
    if (!send(
        request.id(),
        command,
        request.idempotencyKey() == null || core.callsDownstream(request.classIndex()))) {
      loop.execute(
          () ->
              core.runEnded(
                  request.id(),
                  RunResult.UNREACHABLE,
                  null,
                  0)); // told like any other end, not inside the order
    }
  }

  @Override
  public void cancel(String id) {
    send(id, "{\"type\":\"stop\",\"job\":\"" + id + "\"}", true);
  }

  @Override
  public void completeCall(String id, byte[] reply) {
    send(id, "{\"type\":\"give\",\"job\":\"" + id + "\",\"data\":\"" + base64(reply) + "\"}", true);
  }

  @Override
  public void skipCall(String id, long notice) {
    send(id, "{\"type\":\"omit\",\"job\":\"" + id + "\",\"n\":" + notice + "}", true);
  }

  @Override
  public void requestGauges() {
    long now = clock.getAsLong();
    if (now - askedUs
        > STOOD_US) { // this process itself stood still: what came meanwhile has not been read yet
      heardUs = now;
    }
    askedUs = now;
    if (ready
        && now - heardUs
            > SILENT_US) { // open, and nothing comes: runs go on, and a new link tells of them
      counters.add("runtime.silent");
      log.warn(
          "the runtime has been silent for "
              + (now - heardUs) / 1000
              + " ms: its link is made anew");
      heardUs = now;
      link.abort("the runtime is silent");
      return;
    }
    if (ready && (!gaugesOut || now - gaugesAskedUs > GAUGES_US)) {
      gaugesOut = true;
      gaugesAskedUs = now;
      write("{\"type\":\"gauges\",\"ref\":\"g\"}");
    }
  }

  private static String base64(byte[] bytes) {
    return Base64.getEncoder().encodeToString(bytes);
  }

  /**
   * Sends a command, or keeps it for the next link: it has not been sent, so sending it then is no
   * repeat. False where too many wait already, and it is neither.
   */
  private boolean send(String id, String line, boolean repeatable) {
    counters.add("runtime.commands");
    repeated.remove(id);
    unproven.remove(id);
    suspect.remove(id);
    Command command = new Command(id, line, repeatable, clock.getAsLong());
    if (ready && sent(command)) {
      return true;
    }
    if (unsent.size() >= WAITING) { // a runtime that is away for good: memory is bounded
      counters.add("runtime.dropped");
      return false;
    }
    return unsent.add(command);
  }

  /** Sends a command by the link in use; false where it has ended and not a byte was sent. */
  private boolean sent(Command command) {
    if (link == null || !write(command.line)) {
      return false;
    }
    unproven.put(
        command.id, new Command(command.id, command.line, command.repeatable, clock.getAsLong()));
    return true;
  }

  private boolean write(String line) {
    return link.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.ISO_8859_1)));
  }

  // ---- notices

  /** Guards the link: a line that can't be read is passed over alone. */
  private void notice(String line) {
    Message message = Message.parse(line);
    if (message == null) {
      counters.add("runtime.unread");
      log.warn("the runtime sent what is no message: " + line);
      return;
    }
    long n = message.number("n", 0);
    if (n > 0) {
      if (n <= lastNotice) { // told again after a new link: applied already
        counters.add("runtime.repeated");
        return;
      }
      lastNotice = n;
    }
    String job = message.text("job");
    if (n > 0) { // the run has moved on: its last command arrived
      unproven.remove(job);
      suspect.remove(job);
    }
    switch (message.text("type")) {
      case "ready" -> ready(message);
      case "end" -> {
        byte[] result = data(message);
        core.runEnded(
            job,
            result == null ? RunResult.INTERRUPTED : end(message.text("state")),
            result,
            message.micros("took"));
      }
      case "wants" -> {
        byte[] body = data(message);
        if (body == null) {
          core.commandRejected(
              job, false); // the call can't be made: it waits for what will not come
        } else {
          core.callRequested(job, n, body);
        }
      }
      case "load" -> {
        gaugesOut = false;
        if (message.text("ref").equals(RESUMED)) {
          resumed();
        }
        core.gaugesReceived(message.numbers());
      }
      case "nack" -> {
        log.warn("the runtime did not carry out " + message.text("state") + " for " + job);
        nacked(message.text("state"), job);
      }
      default -> {} // a remark with no meaning
    }
  }

  private void ready(Message message) {
    ready = true;
    log.info(
        "the runtime is up, "
            + message.text("state")
            + ", since "
            + message.micros("took") / 1000
            + " ms");
    core.start(this, message.text("state").equals("cold"), message.micros("took"));
    if (!suspect.isEmpty()) {
      write("{\"type\":\"gauges\",\"ref\":\"" + RESUMED + "\"}");
    }
    while (!unsent.isEmpty() && sent(unsent.peek())) {
      unsent.remove();
    }
  }

  /**
   * The notices missed while there was no link have been read. Guards against commands that the
   * broken link swallowed: those of runs that still show no effect are sent again, which is no harm
   * where they did arrive.
   */
  private void resumed() {
    repeated.clear();
    List<Command> last = List.copyOf(suspect.values());
    suspect.clear();
    last.forEach(
        command -> {
          String id = command.id;
          if (command.repeatable) {
            counters.add("runtime.resent");
            repeated.add(id);
            if (!sent(command)) {
              suspect.put(id, command); // this link has ended too: the next one tells
            }
          } else {
            counters.add("runtime.unproven");
            core.runEnded(
                id,
                RunResult.INTERRUPTED,
                null,
                0); // answered now: nothing more will prove whether it runs
          }
        });
  }

  private void nacked(String command, String job) {
    if (repeated.remove(job)) {
      return; // the command had arrived before, by the link that broke
    }
    unproven.remove(job);
    suspect.remove(job);
    switch (command) {
      case "start" -> core.commandRejected(job, true);
      case "give", "omit" -> core.commandRejected(job, false);
      default -> {} // a stop of what is over
    }
  }

  private static RunResult end(String state) {
    return switch (state) {
      case "ok" -> RunResult.OK;
      case "halted" -> RunResult.CANCELLED;
      case "void" -> RunResult.NOT_STARTED;
      default -> RunResult.FAILED;
    };
  }

  /** The bytes that a message carries, null where they can't be read. */
  private byte[] data(Message message) {
    try {
      return Base64.getDecoder().decode(message.text("data"));
    } catch (IllegalArgumentException e) {
      counters.add("runtime.unread");
      log.warn("the runtime sent a body that is no base64");
      return null;
    }
  }
}
