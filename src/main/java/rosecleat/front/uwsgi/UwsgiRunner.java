package rosecleat.front.uwsgi;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.net.ConnectHandler;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;

/**
 * The uwsgi client: runs requests on uwsgi backends, a connection each. How a run ended is what is
 * proven.
 */
public final class UwsgiRunner implements Runner {
  /**
   * The attributes that name a request's backend, or the service whose instances run it; and its
   * operation.
   */
  static final String BACKEND = "rosecleat.backend";

  static final String SERVICE = "rosecleat.service";
  static final String OPERATION = "rosecleat.operation";

  /** The end of its key's window. */
  static final String UNTIL = "rosecleat.until";

  private static final Set<String> OURS = Set.of(BACKEND, SERVICE, OPERATION, UNTIL);
  private static final long DIAL_US = 1_000_000;

  /** What a connection's queue holds beside a body: a packet's vars are 64 KiB at the most. */
  private static final int HEAD_ROOM = 128 << 10;

  /** A run is given up so long after its answer was due (us). */
  private static final long LATE_US = 1_000_000;

  private final EventLoop loop;
  private final Core core;
  private final LongSupplier clock;
  private final Counters counters;
  private final int replyBytes;
  private final InstanceBalancer instances;
  private final Map<String, Run> runs = new HashMap<>();

  /**
   * A client whose backends' replies may be so long; the backends of some services are {@code
   * instances}.
   */
  public UwsgiRunner(
      EventLoop loop, Core core, LongSupplier clock, int replyBytes, InstanceBalancer instances) {
    this.instances = instances;
    this.loop = loop;
    this.core = core;
    this.clock = clock;
    this.replyBytes = replyBytes;
    counters = core.counters();
  }

  @Override
  public void start(Request request, long dueUs) {
    Run run = new Run(request);
    runs.put(request.id(), run);
    run.timer = loop.schedule(dueUs + LATE_US - run.startedUs, run::late);
    ConnectionLimits limits =
        new ConnectionLimits(8 << 10, 64 << 10, HEAD_ROOM + request.body().length, 5_000_000);
    InetSocketAddress at = run.place();
    if (at == null) { // told like any other end, not inside the order
      loop.execute(() -> run.end(RunResult.UNREACHABLE, null));
      return;
    }
    Connection.connect(loop, at, DIAL_US, limits, run);
  }

  @Override
  public void cancel(String id) {
    Run run = runs.get(id);
    if (run != null) {
      loop.execute(
          () ->
              run.end(RunResult.CANCELLED, null)); // told like any other end, not inside the order
    }
  }

  @Override
  public void completeCall(String id, byte[] reply) {}

  @Override
  public void skipCall(String id, long notice) {}

  /** One run on one connection. */
  private final class Run implements ConnectHandler, ConnectionHandler {
    private final Request request;
    private final long startedUs = clock.getAsLong();
    private final HttpParser parser = new HttpParser(replyBytes);
    private Connection connection;
    private Future<?> timer;
    private boolean over;
    private Optional<InstanceBalancer.Lease> lease = Optional.empty();
    private int received = -1;

    Run(Request request) {
      this.request = request;
    }

    /**
     * Where it runs, chosen now: since it arrived instances may have come and gone. Null for
     * nowhere.
     */
    private InetSocketAddress place() {
      Map<String, String> known = request.attributes();
      String service = known.get(SERVICE);
      if (service != null) {
        lease =
            instances.lease(
                new InstanceBalancer.LeaseRequest(
                    service,
                    known.get(OPERATION),
                    request.idempotencyKey(),
                    request.idempotencyKey() == null ? 0 : Long.parseLong(known.get(UNTIL)),
                    request.body().length),
                startedUs);
        return lease.map(InstanceBalancer.Lease::address).orElse(null);
      }
      String backend = known.get(BACKEND);
      int colon = backend.lastIndexOf(':');
      return new InetSocketAddress(
          backend.substring(0, colon), Integer.parseInt(backend.substring(colon + 1)));
    }

    @Override
    public void connected(Connection fresh) {
      if (over) {
        fresh.abort("stopped before it was sent");
        return;
      }
      connection = fresh;
      ByteBuffer packet = new UwsgiPacket(UwsgiPacket.REQUEST, 0, vars(), request.body()).encode();
      if (packet == null) {
        end(RunResult.UNREACHABLE, null);
        return;
      }
      fresh.start(this);
      if (!fresh.write(packet)) { // not a byte of it was sent
        end(RunResult.UNREACHABLE, null);
        return;
      }
      counters.add("backend.sent");
    }

    private Map<String, String> vars() {
      Map<String, String> vars = new HashMap<>(request.attributes());
      vars.keySet().removeAll(OURS);
      vars.put("CONTENT_LENGTH", Integer.toString(request.body().length));
      vars.put("HTTP_X_REQUEST_ID", request.id());
      vars.put(
          "HTTP_X_DEADLINE_MS",
          Long.toString(
              Math.max(
                  1, (request.arrivedAtUs() + request.timeoutUs() - clock.getAsLong()) / 1000)));
      return vars;
    }

    /** Nothing was reached, so nothing ran. */
    @Override
    public void failed(Failure failure) {
      end(RunResult.UNREACHABLE, null);
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (!parser.take(bytes)) {
        end(RunResult.FAILED, null);
      } else if (parser.whole(false)) {
        finished();
      }
    }

    /** A connection that breaks after the request was sent proves nothing of the run. */
    @Override
    public void closed(Failure failure, boolean endOfStream) {
      if (endOfStream && parser.whole(true)) {
        finished();
      } else {
        end(RunResult.INTERRUPTED, null);
      }
    }

    /**
     * Whatever a service answers whole is its answer, also that something is not there or went
     * wrong.
     */
    private void finished() {
      ServiceReply reply = parser.reply();
      counters.add("backend.status." + reply.status() / 100 + "xx");
      received = reply.body().length;
      end(RunResult.OK, reply.result());
    }

    private void late() {
      end(connection == null ? RunResult.UNREACHABLE : RunResult.INTERRUPTED, null);
    }

    private void end(RunResult how, byte[] result) {
      if (over) {
        return;
      }
      over = true;
      timer.cancel(false);
      runs.remove(request.id());
      if (connection != null) {
        connection.abort("its run is over");
      }
      counters.add("backend." + how.counterSuffix());
      long tookUs = clock.getAsLong() - startedUs;
      lease.ifPresent(held -> held.release(how, tookUs, received));
      core.runEnded(request.id(), how, result, tookUs);
    }
  }
}
