package rosecleat.core;

import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicyEvent;

/**
 * Coordinates all requests of a process, whatever protocol they came by: reports what happens to
 * the policy, which decides, and has its commands executed. Each request gets exactly one response.
 * For one thread; nothing here blocks.
 */
public final class Core {
  /** The longest time between two ticks (us). */
  private static final long MAX_TICK_INTERVAL_US = 20_000;

  /** How often expired idempotency keys and lost runs are looked for (us). */
  private static final long EXPIRY_INTERVAL_US = 1_000_000;

  private static final RequestHandle NOTHING_TO_CANCEL = () -> {};

  private volatile CoreSettings settings;
  private final PolicyEngine policy;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final InFlightRequests requests = new InFlightRequests();
  private final GracefulShutdown shutdown = new GracefulShutdown();
  private final LoadEstimator loadEstimator = new LoadEstimator();
  private final RequestCloser closer;
  private final IdempotentAttempts attempts;
  private final DownstreamCalls calls;
  private final Runs runs;
  private final PolicyDriver policyDriver;
  private Optional<Runner> gaugeSource = Optional.empty();
  private boolean drainedByOperator;
  private long lastSequence;
  private long nextExpiryUs;

  /** A core without requests, in the only process of its node. */
  public Core(
      CoreSettings settings,
      PolicyEngine policy,
      DownstreamClient downstream,
      LongSupplier clock,
      Counters counters,
      Log log) {
    this(settings, policy, downstream, IdempotencyClaims.SINGLE_PROCESS, clock, counters, log);
  }

  /**
   * A core without requests, beside other processes of its node.
   *
   * @param settings the settings until {@link #reconfigure}
   * @param policy decides on requests; started by {@link #start}
   * @param downstream makes the calls of runs
   * @param claims the idempotency keys as the processes of this node share them
   * @param clock the time in Unix microseconds; never goes back
   * @param counters the counts that operators see
   * @param log the log of this process
   */
  public Core(
      CoreSettings settings,
      PolicyEngine policy,
      DownstreamClient downstream,
      IdempotencyClaims claims,
      LongSupplier clock,
      Counters counters,
      Log log) {
    this.settings = settings;
    this.policy = policy;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
    closer = new RequestCloser(requests, counters, this::report);
    attempts = new IdempotentAttempts(settings, claims, closer, clock, counters);
    calls = new DownstreamCalls(downstream, clock, counters, this::report);
    runs = new Runs(requests, closer, attempts, calls, clock, counters, log);
    policyDriver =
        new PolicyDriver(settings, policy, requests, runs, calls, attempts, shutdown, clock, log);
  }

  private void report(PolicyEvent event) {
    policyDriver.report(event);
  }

  /** Whether the core has started and accepts requests. */
  public boolean ready() {
    return policy.started();
  }

  /** Whether health checks should succeed; the policy or an operator may say that they fail. */
  public boolean healthy() {
    return policyDriver.healthy() && !drainedByOperator;
  }

  /** The load advice that goes with responses; not a number while there is none. */
  public double loadAdvice() {
    return policyDriver.loadAdvice();
  }

  /** How long connections may stay unused, in microseconds. */
  public long idleTimeoutUs() {
    return policyDriver.idleTimeoutUs();
  }

  /** The longest timeout of any class, in microseconds. */
  public long maxTimeoutUs() {
    return settings.maxTimeoutUs();
  }

  /** How many requests are in flight: their response is awaited, or their run has not ended. */
  public int inFlight() {
    return requests.size();
  }

  /** How many requests' response is awaited. */
  public long awaitingResponse() {
    return requests.count(InFlightRequest::awaitingResponse);
  }

  /** Whether the node has begun to shut down. */
  public boolean draining() {
    return shutdown.begun();
  }

  /** Whether the time is over within which requests that arrive during a shutdown still run. */
  public boolean gracePeriodEnded() {
    return shutdown.gracePeriodEndedBefore(clock.getAsLong());
  }

  /** Whether a request in flight has this position of a class. */
  public boolean classInUse(int classIndex) {
    return requests.any(request -> request.request().classIndex() == classIndex);
  }

  /** Whether a request in flight has this position of a tenant. */
  public boolean tenantInUse(int tenantIndex) {
    return requests.any(request -> request.request().tenantIndex() == tenantIndex);
  }

  /** The counts of this core. */
  public Counters counters() {
    return counters;
  }

  /**
   * An operator drains this node, or takes it back into service. Only health checks follow:
   * requests that still arrive are served as ever.
   */
  public void setDrainedByOperator(boolean drained) {
    if (drained == drainedByOperator) {
      return;
    }
    drainedByOperator = drained;
    counters.add(drained ? "operators.drains" : "operators.activations");
    log.info(
        drained
            ? "an operator sends clients away: health checks are answered as bad"
            : "an operator takes clients again: health checks are answered as good");
  }

  /** Applies other settings from now on. Requests in flight keep the class they came with. */
  public void reconfigure(CoreSettings updated) {
    settings = updated;
    attempts.reconfigure(updated);
    policyDriver.reconfigure(updated);
  }

  /**
   * Starts the core where no runner has gauges: the load is estimated.
   *
   * @param cold whether the runners have just started and are slow at first
   * @param startedAgoUs how long ago the runners came up, in microseconds
   */
  public void start(boolean cold, long startedAgoUs) {
    gaugeSource = Optional.empty();
    startPolicy(cold, startedAgoUs);
  }

  /** Starts the core; {@code gauges} is asked for gauges at each tick. May be repeated. */
  public void start(Runner gauges, boolean cold, long startedAgoUs) {
    gaugeSource = Optional.of(gauges);
    startPolicy(cold, startedAgoUs);
  }

  private void startPolicy(boolean cold, long startedAgoUs) {
    if (policy.started() || shutdown.begun()) { // notified before it started, it accepts nothing
      return;
    }
    policy.start(clock.getAsLong() - Math.max(0, startedAgoUs), cold);
    policyDriver.executeCommands();
  }

  /**
   * Submits a request. Its response comes through its responder, perhaps before this returns.
   *
   * @return the handle to cancel the request with
   */
  public RequestHandle submit(Request submitted) {
    counters.add("requests");
    long now = clock.getAsLong();
    InFlightRequest request = accepted(submitted);
    if (!policy.started()) {
      closer.respond(request, Response.rejected());
      return NOTHING_TO_CANCEL;
    }
    Optional<FailureReason> conflict = conflict(request);
    if (conflict.isPresent()) {
      closer.respond(
          request, Response.failed(Progress.NOT_SENT, conflict.get(), FailureCause.CALLER));
      return NOTHING_TO_CANCEL;
    }
    requests.add(request);
    report(arrival(request, now));
    return () -> cancel(request);
  }

  private InFlightRequest accepted(Request request) {
    RequestClass requestClass = settings.classes().get(request.classIndex());
    long timeoutUs = request.timeoutUs() > 0 ? request.timeoutUs() : requestClass.timeoutUs();
    return new InFlightRequest(
        ++lastSequence,
        request,
        requestClass,
        tenantName(request),
        request.arrivedAtUs() + timeoutUs);
  }

  private String tenantName(Request request) {
    return request.tenantIndex() < settings.tenants().size()
        ? settings.tenants().get(request.tenantIndex())
        : "";
  }

  private Optional<FailureReason> conflict(InFlightRequest request) {
    if (requests.contains(request.id())) {
      return Optional.of(FailureReason.DUPLICATE_REQUEST_ID);
    }
    return attempts.conflicts(request)
        ? Optional.of(FailureReason.IDEMPOTENCY_KEY_CONFLICT)
        : Optional.empty();
  }

  private PolicyEvent arrival(InFlightRequest arrived, long nowUs) {
    Request request = arrived.request();
    return new PolicyEvent.Arrived(
        arrived.sequence(),
        request.classIndex(),
        request.tenantIndex(),
        request.readKey(),
        Math.max(1, arrived.deadlineUs() - nowUs),
        request.memoryKb(),
        request.rank(),
        request.retry(),
        arrived.idempotent(),
        request.callerId(),
        Math.max(0, nowUs - request.arrivedAtUs()),
        attempts.originalSequence(arrived));
  }

  private void cancel(InFlightRequest request) {
    if (!request.awaitingResponse()) {
      return;
    }
    counters.add("gone");
    request.cancelledByCaller();
    if (request.pausedForCall()) {
      runs.abandonCall(request);
    }
    boolean hasNoRun = request.is(RequestState.QUEUED) || request.is(RequestState.AWAITING_RESULT);
    report(new PolicyEvent.Cancelled(request.sequence()));
    if (hasNoRun) {
      closer.close(request);
    }
  }

  /** A run has ended without a result; ignored if the core knows of no such run. */
  public void runEnded(String id, RunResult result, long durationUs) {
    runEnded(id, result, null, durationUs);
  }

  /**
   * A run has ended. If the core knows of no such run, only a result counts, for later attempts
   * with the same idempotency key.
   *
   * @param id the request's id
   * @param result how the run ended
   * @param output the result for the caller; used with {@link RunResult#OK} only
   * @param durationUs how long the run took, in microseconds
   */
  public void runEnded(String id, RunResult result, byte[] output, long durationUs) {
    Optional<InFlightRequest> request = requests.find(id);
    if (request.isPresent()) {
      runs.ended(request.get(), result, output, durationUs);
    } else if (result == RunResult.OK) {
      attempts.resultAfterEnd(id, output);
    }
  }

  /**
   * A run is paused until its downstream call is made or skipped.
   *
   * @param id the request's id
   * @param callNumber the runner's number of the call, for {@link Runner#skipCall}
   * @param body the body of the call
   */
  public void callRequested(String id, long callNumber, byte[] body) {
    requests.find(id).ifPresent(request -> calls.requested(request, callNumber, body));
  }

  /** A downstream call has ended without a reply. */
  public void callEnded(String id, CallResult result) {
    callEnded(id, result, null);
  }

  /** A downstream call has ended; its reply is used with {@link CallResult#OK} only. */
  public void callEnded(String id, CallResult result, byte[] reply) {
    requests.find(id).ifPresent(request -> calls.ended(request, result, reply));
  }

  /** The gauges that were requested from the runner have been received. */
  public void gaugesReceived(double[] values) {
    if (policy.started()) {
      report(new PolicyEvent.GaugesRead(values));
    }
  }

  /** A runner has rejected the start of a run, which therefore never executed. */
  public void startRejected(String id) {
    counters.add("nacks");
    runEnded(id, RunResult.UNREACHABLE, 0);
  }

  /** A runner has rejected what a paused run waits for: the run can't go on and is cancelled. */
  public void resumeRejected(String id) {
    counters.add("nacks");
    resumeUnproven(id);
  }

  /** Nothing proves whether a paused run got what it waits for: it is cancelled. */
  public void resumeUnproven(String id) {
    requests.find(id).filter(request -> request.is(RequestState.RUNNING)).ifPresent(runs::cancel);
  }

  /**
   * Begins a graceful shutdown.
   *
   * @param notifiedUs when the notice came, in Unix microseconds, if it is handled only now
   * @param remainingUs how long until the process is stopped, in microseconds
   */
  public void drain(long notifiedUs, long remainingUs) {
    if (shutdown.begun()) {
      return;
    }
    shutdown.begin(notifiedUs, settings.gracePeriodUs());
    policyDriver.setUnhealthy();
    if (policy.started()) {
      report(new PolicyEvent.Draining(remainingUs));
    }
  }

  /** Responds to all requests whose response is awaited: the last step of a shutdown. */
  public void respondToAll(FailureReason reason) {
    for (InFlightRequest request : requests.snapshot()) {
      closer.respond(
          request,
          request.mayHaveRun()
              ? Response.failed(request.progress(), reason, FailureCause.TIME)
              : Response.rejected());
    }
  }

  /**
   * Does what is due by the clock. Returns when to call again at the latest, in Unix microseconds.
   */
  public long tick() {
    long now = clock.getAsLong();
    if (!policy.started()) {
      return now + MAX_TICK_INTERVAL_US;
    }
    if (now >= nextExpiryUs) {
      attempts.expire(now);
      runs.expireLost(now);
      nextExpiryUs = now + EXPIRY_INTERVAL_US;
    }
    attempts.pollPeerRuns();
    long nextUs = policy.tick(now);
    policyDriver.executeCommands();
    gaugeSource.ifPresentOrElse(Runner::requestGauges, () -> estimateLoad(now));
    return Math.min(nextUs, now + MAX_TICK_INTERVAL_US);
  }

  private void estimateLoad(long nowUs) {
    long running = requests.count(request -> request.is(RequestState.RUNNING));
    report(loadEstimator.update(nowUs, running, settings.cores()));
  }
}
