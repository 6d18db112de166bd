package rosecleat.front.uwsgi;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.DeliveryGuarantee;
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
 * A runner that executes requests on uwsgi services, each on a separate connection. A run is
 * reported as not executed only if that is certain: if the connection breaks after the request was
 * sent, the outcome is unknown. All methods must be called on the event loop.
 */
public final class UwsgiRunner implements Runner {
  private static final long CONNECT_TIMEOUT_US = 1_000_000;
  private static final long WRITE_STALL_TIMEOUT_US = 5_000_000;
  private static final int READ_BUFFER_BYTES = 8 << 10;
  private static final int PAUSE_READING_ABOVE_BYTES = 64 << 10;

  /**
   * The write queue's capacity for the header and the vars, in addition to the body. The vars take
   * at most 64 KiB.
   */
  private static final int MAX_HEAD_BYTES = 128 << 10;

  /** The time after its deadline at which a run that has not ended is abandoned. */
  private static final long OVERDUE_TIMEOUT_US = 1_000_000;

  private static final long US_PER_MS = 1_000;

  private final EventLoop loop;
  private final Core core;
  private final LongSupplier clock;
  private final Counters counters;
  private final int maxResponseBytes;
  private final InstanceBalancer instances;
  private final Map<String, Run> runs = new HashMap<>();

  /**
   * Creates a runner.
   *
   * @param clock the Unix time in microseconds
   * @param maxResponseBytes the longest body that is accepted in the response of a service
   * @param instances the instances of services without a fixed address
   */
  public UwsgiRunner(
      EventLoop loop,
      Core core,
      LongSupplier clock,
      int maxResponseBytes,
      InstanceBalancer instances) {
    this.loop = loop;
    this.core = core;
    this.clock = clock;
    this.maxResponseBytes = maxResponseBytes;
    this.instances = instances;
    counters = core.counters();
  }

  @Override
  public void start(Request request, DeliveryGuarantee guarantee, long deadlineUs) {
    Run run = new Run(request);
    runs.put(request.id(), run);
    run.start(deadlineUs);
  }

  @Override
  public void cancel(String id) {
    Run run = runs.get(id);
    if (run != null) {
      run.endLater(RunResult.CANCELLED);
    }
  }

  /** Does nothing: these runs make no downstream calls. */
  @Override
  public void completeCall(String id, byte[] reply) {}

  /** Does nothing: these runs make no downstream calls. */
  @Override
  public void skipCall(String id, long callNumber) {}

  /** One run, which uses one connection. */
  private final class Run implements ConnectHandler, ConnectionHandler {
    /** The value of the response's length if no complete response was received. */
    private static final int NO_RESPONSE = -1;

    private final Request request;
    private final long startedAtUs = clock.getAsLong();
    private final HttpResponseParser parser = new HttpResponseParser(maxResponseBytes);
    private Optional<InstanceBalancer.Lease> lease = Optional.empty();
    private Connection connection;
    private Future<?> overdueTimeout;
    private int responseBytes = NO_RESPONSE;
    private boolean ended;

    Run(Request request) {
      this.request = request;
    }

    void start(long deadlineUs) {
      long delayUs = deadlineUs + OVERDUE_TIMEOUT_US - startedAtUs;
      overdueTimeout = loop.schedule(delayUs, this::abandonOverdue);
      Optional<InetSocketAddress> address = chooseAddress();
      if (address.isEmpty()) {
        endLater(RunResult.UNREACHABLE);
        return;
      }
      ConnectionLimits limits =
          new ConnectionLimits(
              READ_BUFFER_BYTES,
              PAUSE_READING_ABOVE_BYTES,
              MAX_HEAD_BYTES + request.body().length,
              WRITE_STALL_TIMEOUT_US);
      Connection.connect(loop, address.get(), CONNECT_TIMEOUT_US, limits, this);
    }

    /**
     * Ends the run in a later task of the event loop, because the core must not be called back
     * while it starts or cancels a run.
     */
    void endLater(RunResult result) {
      loop.execute(() -> endWithoutResult(result));
    }

    /** Returns the address to connect to; empty if no instance of the service accepts requests. */
    private Optional<InetSocketAddress> chooseAddress() {
      String service = request.attributes().get(RunAttributes.SERVICE);
      if (service != null) {
        lease = instances.lease(leaseRequest(service), startedAtUs);
        return lease.map(InstanceBalancer.Lease::address);
      }
      String address = request.attributes().get(RunAttributes.BACKEND_ADDRESS);
      int colon = address.lastIndexOf(':');
      return Optional.of(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
    }

    private InstanceBalancer.LeaseRequest leaseRequest(String service) {
      Map<String, String> attributes = request.attributes();
      long keyExpiresAtUs =
          request.idempotencyKey() == null
              ? 0
              : Long.parseLong(attributes.get(RunAttributes.KEY_EXPIRES_AT));
      return new InstanceBalancer.LeaseRequest(
          service,
          attributes.get(RunAttributes.OPERATION),
          request.idempotencyKey(),
          keyExpiresAtUs,
          request.body().length);
    }

    @Override
    public void connected(Connection established) {
      if (ended) {
        established.abort("stopped before it was sent");
        return;
      }
      connection = established;
      Optional<ByteBuffer> packet =
          new UwsgiPacket(UwsgiPacket.MODIFIER_REQUEST, 0, vars(), request.body()).encode();
      if (packet.isEmpty()) {
        endWithoutResult(RunResult.UNREACHABLE);
        return;
      }
      established.start(this);
      if (!established.write(packet.get())) { // no byte of the packet was sent
        endWithoutResult(RunResult.UNREACHABLE);
        return;
      }
      counters.add("backend.sent");
    }

    private Map<String, String> vars() {
      Map<String, String> vars = new HashMap<>(request.attributes());
      vars.keySet().removeAll(RunAttributes.NAMES);
      vars.put("CONTENT_LENGTH", Integer.toString(request.body().length));
      vars.put("HTTP_X_REQUEST_ID", request.id());
      long remainingUs = request.arrivedAtUs() + request.timeoutUs() - clock.getAsLong();
      vars.put("HTTP_X_DEADLINE_MS", Long.toString(Math.max(1, remainingUs / US_PER_MS)));
      return vars;
    }

    /** Ends the run as unreachable: without a connection the service executed nothing. */
    @Override
    public void failed(Failure failure) {
      endWithoutResult(RunResult.UNREACHABLE);
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (!parser.feed(bytes)) {
        endWithoutResult(RunResult.FAILED);
      } else if (parser.isComplete(false)) {
        complete();
      }
    }

    /**
     * Ends the run with its result if the end of the stream completes the response. Otherwise the
     * outcome is unknown: a broken connection does not prove whether the request was executed.
     */
    @Override
    public void closed(Failure failure, boolean endOfStream) {
      if (endOfStream && parser.isComplete(true)) {
        complete();
      } else {
        endWithoutResult(RunResult.INTERRUPTED);
      }
    }

    /** Ends the run with a result: every complete response is one, even with an error status. */
    private void complete() {
      ServiceResponse response = parser.response();
      counters.add("backend.status." + response.status() / 100 + "xx");
      responseBytes = response.body().length;
      end(RunResult.OK, ServiceResponseCodec.encode(response));
    }

    private void abandonOverdue() {
      endWithoutResult(connection == null ? RunResult.UNREACHABLE : RunResult.INTERRUPTED);
    }

    private void endWithoutResult(RunResult result) {
      end(result, null);
    }

    private void end(RunResult result, byte[] resultBody) {
      if (ended) {
        return;
      }
      ended = true;
      overdueTimeout.cancel(false);
      runs.remove(request.id());
      if (connection != null) {
        connection.abort("its run is over");
      }
      counters.add("backend." + result.counterSuffix());
      long durationUs = clock.getAsLong() - startedAtUs;
      lease.ifPresent(acquired -> acquired.release(result, durationUs, responseBytes));
      core.runEnded(request.id(), result, resultBody, durationUs);
    }
  }
}
