package rosecleat.policy;

import java.util.List;

/**
 * Decides which requests one server admits, runs and rejects. The normal path is Algorithm 1 of
 * Khojasteh and Mišić: a gate on the smoothed utilisation with random rejection, and a concurrency
 * limit that adapts to the run times. Each decision has a class of its own, to which this class
 * passes the events. Not thread-safe; all of its state derives from the events that it receives.
 */
public final class Policy implements PolicyEvents {
  /** Share of the cores above which reads and new connections overload the cores. */
  private static final double READ_OVERLOAD_SHARE = 0.7;

  private static final double US_PER_S = 1e6;

  private final PolicyContext context;
  private final MemoryBudget memory;
  private final CoreLoad load;
  private final RequestRates rates = new RequestRates();
  private final TenantFairness fairness;
  private final RequestWeights weights;
  private final ServiceTimeEstimator serviceTimes;
  private final DownstreamCallLimiter callLimiter;
  private final RequestTable requests;
  private final AdmissionGate gate;
  private final ConcurrencyLimiter concurrency;
  private final ServerAvailability availability;
  private final OverloadEstimator overload = new OverloadEstimator();
  private final ResponseSender responses;
  private final IdempotencyRecords idempotency;
  private final AdmissionController admission;
  private final Dispatcher dispatcher;
  private final DownstreamCallScheduler calls;
  private final DeadlineMonitor deadlines;
  private final StallGuard stallGuard;
  private final LoadAdvisor advisor;
  private final IdleConnectionTimeout idleTimeout;
  private long lastTickUs;
  private long lastAdjustmentUs;
  private long lastArrivalUs;

  /**
   * Creates the policy of one server.
   *
   * @param seed the seed of all random numbers that the policy draws
   * @param actions the host's implementation of the policy's decisions
   */
  public Policy(PolicySettings settings, long seed, PolicyActions actions) {
    context = new PolicyContext(settings, seed, actions);
    memory = new MemoryBudget(context);
    load = new CoreLoad(context);
    fairness = new TenantFairness(context, rates);
    weights = new RequestWeights(fairness);
    serviceTimes = new ServiceTimeEstimator(load);
    callLimiter = new DownstreamCallLimiter(context);
    requests = new RequestTable(context, memory, callLimiter);
    gate = new AdmissionGate(context, load, rates, requests);
    concurrency = new ConcurrencyLimiter(context, load, serviceTimes, requests);
    availability = new ServerAvailability(context);
    responses = new ResponseSender(context, requests, load, overload, availability);
    idempotency = new IdempotencyRecords(context, memory, requests);
    CompletionForecast forecast = new CompletionForecast(context, requests, gate, serviceTimes);
    admission = newAdmissionController(forecast);
    dispatcher = newDispatcher(forecast);
    calls =
        new DownstreamCallScheduler(
            context, requests, callLimiter, serviceTimes, weights, responses);
    deadlines = new DeadlineMonitor(context, requests, forecast, responses);
    stallGuard = new StallGuard(context, requests, load, serviceTimes, availability);
    advisor = new LoadAdvisor(context, availability, overload, serviceTimes, concurrency);
    idleTimeout = new IdleConnectionTimeout(context);
    applySettings(settings);
  }

  private AdmissionController newAdmissionController(CompletionForecast forecast) {
    return new AdmissionController(
        context,
        requests,
        gate,
        weights,
        memory,
        forecast,
        overload,
        availability,
        idempotency,
        responses);
  }

  private Dispatcher newDispatcher(CompletionForecast forecast) {
    return new Dispatcher(
        context,
        requests,
        gate,
        concurrency,
        weights,
        memory,
        forecast,
        availability,
        idempotency,
        responses);
  }

  /** Applies settings; learned values stay with their class or tenant index. */
  private void applySettings(PolicySettings settings) {
    context.settings(settings);
    serviceTimes.resize(settings.classes().size());
    fairness.reconfigure();
  }

  @Override
  public void start(long now) {
    context.nowUs(now);
    lastTickUs = now;
    lastAdjustmentUs = now;
    rates.start(now);
    concurrency.start(now);
    stallGuard.start(now);
    callLimiter.start(now);
    advisor.start();
    context.actions.startTimer(PolicyTiming.TICK_US, 0);
  }

  @Override
  public void reconfigured(long now, PolicySettings settings, List<Integer> reassignedClasses) {
    context.nowUs(now);
    applySettings(settings);
    reassignedClasses.forEach(serviceTimes::forget);
  }

  @Override
  public void arrived(long now, PolicyRequest request) {
    context.nowUs(now);
    TrackedRequest tracked = track(now, request);
    requests.add(tracked);
    fadeRates(now);
    rates.countArrival();
    fairness.countArrival(request.tenantIndex());
    gate.update();
    lastArrivalUs = now;
    idleTimeout.countArrival(request.callerId(), gate.averageUtilisation);
    overload.recordRead(tracked);
    double weight = weights.weight(tracked);
    weights.record(weight);
    admission.admit(tracked, weight, advisor.level());
    dispatcher.dispatch();
  }

  private TrackedRequest track(long now, PolicyRequest request) {
    PriorityClass priorityClass = context.settings().classes().get(request.classIndex());
    long arrivedUs = now - request.ageUs();
    long givenUs = request.timeoutUs();
    long deadlineUs =
        Math.max(now, givenUs > 0 ? now + givenUs : arrivedUs + priorityClass.deadlineUs());
    double runTimeUs =
        request.runTimeHintUs() > 0
            ? request.runTimeHintUs()
            : serviceTimes.observedRunTime(request.classIndex());
    long objectiveUs =
        arrivedUs
            + priorityClass.latencyObjectiveUs()
            + (long) (priorityClass.objectiveRunTimeFactor() * runTimeUs);
    return new TrackedRequest(
        request,
        priorityClass,
        arrivedUs,
        Math.min(deadlineUs, objectiveUs),
        Math.min(deadlineUs, availability.stopUs()));
  }

  private void fadeRates(long now) {
    fairness.fade(rates.fade(now));
  }

  @Override
  public void ended(long now, long id, Outcome outcome, long tookUs) {
    context.nowUs(now);
    TrackedRequest tracked = requests.find(id);
    if (tracked == null) {
      return;
    }
    if (outcome == Outcome.CANCELLED && tracked.awaitingResponse) {
      requests.requeue(tracked); // dropped or paused before it was answered
      return;
    }
    boolean wasRun = tracked.state != RequestState.ATTACHED;
    recordRunTime(tracked, outcome, tookUs);
    if ((wasRun && outcome == Outcome.OK) || outcome == Outcome.FAILED) {
      recordCompletion(now, tracked, outcome);
    }
    if (wasRun) {
      stallGuard.runEnded();
      if (outcome == Outcome.OK) {
        idempotency.rememberReadResult(tracked);
      }
    }
    requests.complete(tracked);
    dispatcher.dispatch();
  }

  private void recordRunTime(TrackedRequest tracked, Outcome outcome, long tookUs) {
    // time spent waiting for calls does not count as run time
    long workedUs = Math.max(1, tookUs - tracked.waitedAtCallsUs);
    if (outcome == Outcome.OK && tracked.state != RequestState.ATTACHED) {
      serviceTimes.recordEnd(tracked, workedUs);
    } else if (outcome == Outcome.CANCELLED && tracked.state == RequestState.RUNNING) {
      serviceTimes.recordCancellation(tracked, workedUs);
    }
  }

  private void recordCompletion(long now, TrackedRequest tracked, Outcome outcome) {
    fadeRates(now);
    rates.countCompletion();
    if (outcome == Outcome.OK) {
      fairness.countServed(tracked.request.tenantIndex());
    }
    gate.update();
  }

  @Override
  public void callNeeded(long now, long id) {
    context.nowUs(now);
    TrackedRequest tracked = requests.find(id);
    if (tracked == null || tracked.state != RequestState.RUNNING) {
      return;
    }
    calls.request(tracked);
    dispatcher.dispatch();
  }

  @Override
  public void callEnded(long now, long id, Outcome outcome, long tookUs) {
    context.nowUs(now);
    TrackedRequest tracked = requests.find(id);
    if (tracked != null && tracked.state == RequestState.CALLING) {
      calls.ended(tracked, outcome, tookUs);
    }
    calls.makeCalls();
    dispatcher.dispatch();
  }

  @Override
  public void cancelled(long now, long id) {
    context.nowUs(now);
    TrackedRequest tracked = requests.find(id);
    if (tracked == null) {
      return;
    }
    tracked.awaitingResponse = false;
    responses.release(tracked);
    dispatcher.dispatch();
  }

  @Override
  public void timerFired(long now, long tag, ServerGauges gauges) {
    context.nowUs(now);
    context.actions.startTimer(PolicyTiming.TICK_US, 0);
    double gapUs = now - lastTickUs;
    lastTickUs = now;
    concurrency.tick(now);
    idempotency.expire();
    double demand = load.update(gauges, gapUs, requests.running());
    if (stallGuard.tick(gapUs, demand)) {
      List.copyOf(requests.queue()).forEach(responses::answer);
      advisor.reportChanges();
    }
    deadlines.check();
    calls.makeCalls();
    if (now - lastAdjustmentUs >= PolicyTiming.ADJUST_INTERVAL_US) {
      adjust(now, (now - lastAdjustmentUs) / US_PER_S);
      lastAdjustmentUs = now;
    }
    dispatcher.dispatch();
  }

  private void adjust(long now, double seconds) {
    concurrency.adjust();
    callLimiter.adjust(calls.outstanding());
    if (now - lastArrivalUs > PolicyTiming.ADJUST_INTERVAL_US) {
      overload.fade();
    }
    advisor.adjustLevel(seconds);
    idleTimeout.adjust(
        idleTimeout.isKeepAliveBeneficial()
            || overload.hasBacklog()
            || load.readShare() > READ_OVERLOAD_SHARE);
    advisor.reportChanges();
  }

  @Override
  public void draining(long now, long remainingUs) {
    context.nowUs(now);
    availability.startDraining(remainingUs);
    for (TrackedRequest tracked : requests.all()) {
      tracked.deadlineUs = Math.min(tracked.deadlineUs, availability.stopUs());
    }
    context.actions.log("server is draining, process stops in " + remainingUs / 1000 + " ms");
    advisor.reportChanges();
  }

  /** Returns the learned values that another process can reuse. */
  LearnedEstimates learnedEstimates() {
    return new LearnedEstimates(
        serviceTimes.learnedRunTimes(),
        serviceTimes.learnedRunCounts(),
        callLimiter.typicalDurationUs(),
        callLimiter.callsEnded(),
        concurrency.limit(),
        callLimiter.limit(),
        fairness.arrivalShares(),
        weights.arrivals());
  }

  /** Applies values learned by another process, until enough has been observed here. */
  void restore(LearnedEstimates learned) {
    serviceTimes.restore(learned.runTimesUs(), learned.runCounts());
    callLimiter.restore(learned.callTimeUs(), learned.callLimit());
    concurrency.restore(learned.concurrencyLimit());
    fairness.restore(learned.tenantShares(), learned.arrivals());
  }

  /**
   * Returns the time that downstream calls occupy the dependency from the start of the window that
   * ends at {@code endUs}, including time reserved after its end, if no further call is made (us).
   */
  double timeAtCallsUs(long endUs, double windowUs) {
    return callLimiter.occupiedUs(endUs, windowUs);
  }

  /** Returns the memory of requests and stored keys (KB). */
  double memoryKb() {
    return memory.usedKb();
  }

  /** Returns the number of requests that run or wait for a downstream call. */
  int concurrentRequests() {
    return requests.running() + requests.atCall();
  }

  /** Returns the limit on concurrent runs. */
  double concurrencyLimit() {
    return concurrency.limit();
  }

  /** Returns the admission gate, for tests. */
  AdmissionGate gate() {
    return gate;
  }

  /** Returns the load of the cores, for tests. */
  CoreLoad load() {
    return load;
  }
}
