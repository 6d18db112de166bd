package rosecleat.core;

import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicyEvent;

/**
 * Coordinates all requests of a process, independently of the protocol by which they arrived:
 * reports events to the policy, which decides, and has its commands executed. Each request gets one
 * response, unless its caller cancels it first. For one thread; nothing here blocks.
 */
public final class Core {
  /** Maximum time between two ticks (us). */
  private static final long MAX_TICK_INTERVAL_US = 20_000;

  /** Interval at which expired idempotency keys and lost runs are removed (us). */
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
  private final RequestConflicts conflicts;
  private final RequestCloser closer;
  private final IdempotentAttempts attempts;
  private final DownstreamCalls calls;
  private final Runs runs;
  private final PolicyDriver policyDriver;
  private Optional<Runner> gaugeSource = Optional.empty();
  private boolean drainedByOperator;
  private long lastSequence;
  private long nextExpiryUs;

  /** Creates a core without requests for a node with a single process. */
  public Core(
      CoreSettings settings,
      PolicyEngine policy,
      DownstreamClient downstream,
      LongSupplier clock,
      Counters counters,
      Log log) {
    this(
        settings,
        policy,
        downstream,
        IdempotencyClaims.SINGLE_PROCESS,
        new LocalStartedRuns(),
        clock,
        counters,
        log);
  }

  /**
   * Creates a core without requests for a node that may have several processes.
   *
   * @param settings the settings until {@link #reconfigure} is called
   * @param policy decides on requests; started by {@link #start}
   * @param downstream makes the downstream calls of runs
   * @param claims the claims on idempotency keys that the processes of this node share
   * @param startedRuns the runs that the processes of this node may have executed
   * @param clock the time in Unix microseconds; must be monotonic
   * @param counters the counters that are shown to operators
   * @param log the log of this process
   */
  public Core(
      CoreSettings settings,
      PolicyEngine policy,
      DownstreamClient downstream,
      IdempotencyClaims claims,
      StartedRuns startedRuns,
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
    conflicts = new RequestConflicts(requests, startedRuns, attempts, counters);
    calls = new DownstreamCalls(downstream, clock, counters, this::report);
    runs = new Runs(requests, closer, attempts, startedRuns, calls, clock, counters, log);
    policyDriver =
        new PolicyDriver(settings, policy, requests, runs, calls, attempts, shutdown, clock, log);
  }

  private void report(PolicyEvent event) {
    policyDriver.report(event);
  }

  /** Returns whether the core has started and accepts requests. */
  public boolean ready() {
    return policy.started();
  }

  /** Returns whether health checks should succeed; the policy or an operator can make them fail. */
  public boolean healthy() {
    return policyDriver.healthy() && !drainedByOperator;
  }

  /** Returns the load advice to send with responses; NaN if there is none. */
  public double loadAdvice() {
    return policyDriver.loadAdvice();
  }

  /** Returns how long a connection may stay idle, in microseconds. */
  public long idleTimeoutUs() {
    return policyDriver.idleTimeoutUs();
  }

  /** Returns the longest timeout of any class, in microseconds. */
  public long maxTimeoutUs() {
    return settings.maxTimeoutUs();
  }

  /** Returns the longest window of any class's idempotency keys, in microseconds. */
  public long maxIdempotencyWindowUs() {
    return settings.maxIdempotencyWindowUs();
  }

  /** Returns the number of requests that await their response or the end of their run. */
  public int inFlight() {
    return requests.size();
  }

  /** Returns the number of requests whose response is awaited. */
  public long awaitingResponse() {
    return requests.count(InFlightRequest::awaitingResponse);
  }

  /** Returns the number of idempotency keys that this process remembers. */
  public int rememberedKeys() {
    return attempts.rememberedKeys();
  }

  /** Returns whether the node has begun to shut down. */
  public boolean draining() {
    return shutdown.begun();
  }

  /** Returns whether the grace period has ended, after which newly arriving requests never run. */
  public boolean gracePeriodEnded() {
    return shutdown.gracePeriodEndedBefore(clock.getAsLong());
  }

  /** Returns whether a request in flight refers to this class index. */
  public boolean classInUse(int classIndex) {
    return requests.any(request -> request.request().classIndex() == classIndex);
  }

  /** Returns whether a request in flight refers to this tenant index. */
  public boolean tenantInUse(int tenantIndex) {
    return requests.any(request -> request.request().tenantIndex() == tenantIndex);
  }

  /** Returns the counters of this process. */
  public Counters counters() {
    return counters;
  }

  /**
   * Drains this node for an operator, or takes it back into service. This affects health checks
   * only: requests that still arrive are served as usual.
   */
  public void setDrainedByOperator(boolean drained) {
    if (drained == drainedByOperator) {
      return;
    }
    drainedByOperator = drained;
    counters.add(drained ? "operators.drains" : "operators.activations");
    log.info(
        drained
            ? "operator drained this node: health checks fail until an operator activates it"
            : "operator activated this node: health checks succeed unless the node is unhealthy");
  }

  /** Applies updated settings. Requests in flight keep the class that they were submitted with. */
  public void reconfigure(CoreSettings updated) {
    settings = updated;
    attempts.reconfigure(updated);
    policyDriver.reconfigure(updated);
  }

  /**
   * Starts the core without gauges: the load is estimated from the number of runs. May be repeated.
   *
   * @param cold whether the runners have just started and are slow at first
   * @param startedAgoUs how long ago the runners became ready, in microseconds
   */
  public void start(boolean cold, long startedAgoUs) {
    gaugeSource = Optional.empty();
    startPolicy(cold, startedAgoUs);
  }

  /** Starts the core with a runner whose gauges are requested at each tick. May be repeated. */
  public void start(Runner gauges, boolean cold, long startedAgoUs) {
    gaugeSource = Optional.of(gauges);
    startPolicy(cold, startedAgoUs);
  }

  private void startPolicy(boolean cold, long startedAgoUs) {
    if (policy.started() || shutdown.begun()) { // after a shutdown, the core never starts
      return;
    }
    policy.start(clock.getAsLong() - Math.max(0, startedAgoUs), cold);
    policyDriver.executeCommands();
  }

  /**
   * Submits a request. The response is sent to its responder, possibly before this method returns.
   *
   * @return a handle that cancels the request
   */
  public RequestHandle submit(Request submitted) {
    counters.add("requests");
    long now = clock.getAsLong();
    InFlightRequest request = accepted(submitted);
    if (!policy.started()) {
      closer.respond(request, Response.rejected());
      return NOTHING_TO_CANCEL;
    }
    Optional<Response> conflict = conflicts.find(request);
    if (conflict.isPresent()) {
      closer.respond(request, conflict.get());
      return NOTHING_TO_CANCEL;
    }
    requests.add(request);
    report(request.arrival(now, attempts.originalSequence(request)));
    return () -> cancel(request);
  }

  private InFlightRequest accepted(Request request) {
    RequestClass configured = settings.classes().get(request.classIndex());
    RequestClass requestClass =
        attempts.repeatsIdempotentRequest(request, configured)
            ? configured.asIdempotent()
            : configured;
    long timeoutUs = request.timeoutUs() > 0 ? request.timeoutUs() : requestClass.timeoutUs();
    return new InFlightRequest(
        ++lastSequence, request, requestClass, request.arrivedAtUs() + timeoutUs);
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

  /** Handles the end of a run without a result. Ignored if no such run is in flight. */
  public void runEnded(String id, RunResult result, long durationUs) {
    runEnded(id, result, null, durationUs);
  }

  /**
   * Handles the end of a run. If no such run is in flight, a result is only stored for later
   * attempts with the same idempotency key, and any other outcome is ignored.
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
   * Handles a run that is paused until its downstream call is completed or skipped.
   *
   * @param id the request's id
   * @param callNumber the number that the runner gave the call, for {@link Runner#skipCall}
   * @param body the body of the call
   */
  public void callRequested(String id, long callNumber, byte[] body) {
    requests.find(id).ifPresent(request -> calls.requested(request, callNumber, body));
  }

  /** Handles the end of a downstream call without a reply. */
  public void callEnded(String id, CallResult result) {
    callEnded(id, result, null);
  }

  /** Handles the end of a downstream call. The reply is used with {@link CallResult#OK} only. */
  public void callEnded(String id, CallResult result, byte[] reply) {
    requests.find(id).ifPresent(request -> calls.ended(request, result, reply));
  }

  /** Handles the gauge values that the runner has reported on request. */
  public void gaugesReceived(double[] values) {
    if (policy.started()) {
      report(new PolicyEvent.GaugesRead(values));
    }
  }

  /** Handles a runner's rejection of the start of a run, which therefore never executed. */
  public void startRejected(String id) {
    counters.add("nacks");
    runEnded(id, RunResult.UNREACHABLE, 0);
  }

  /** Cancels a paused run that can't resume, because its call or the reply to it was rejected. */
  public void resumeRejected(String id) {
    counters.add("nacks");
    resumeUnproven(id);
  }

  /** Cancels a paused run if it is unknown whether its runner received the message to resume it. */
  public void resumeUnproven(String id) {
    requests.find(id).filter(request -> request.is(RequestState.RUNNING)).ifPresent(runs::cancel);
  }

  /**
   * Begins a graceful shutdown.
   *
   * @param notifiedUs when this process was notified, in Unix microseconds; may be earlier than now
   * @param remainingUs the time until the process is stopped, in microseconds
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

  /** Fails awaited requests that may have run and rejects the others, as the last shutdown step. */
  public void respondToAll(FailureReason reason) {
    for (InFlightRequest request : requests.snapshot()) {
      closer.respond(
          request,
          request.mayHaveRun()
              ? Response.failed(request.progress(), reason, FailureCause.TIME)
              : Response.rejected());
    }
  }

  /** Performs work that is due. Returns the Unix time (us) by which to call this method again. */
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
