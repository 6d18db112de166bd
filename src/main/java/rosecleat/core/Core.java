package rosecleat.core;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.CallOutcome;
import rosecleat.policy.PolicyCommand;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicyEvent;

/**
 * The life of every request, whatever wire it came by: it is held, run, called for and answered as
 * the module decides, and answered once. Knows no wire. For one thread.
 */
public final class Core {
  private static final long TICK_US = 20_000;
  private static final long EXPIRE_US = 1_000_000;
  private static final double RECKON_US = 500_000;

  private volatile CoreSettings rules;
  private final PolicyEngine decisions;
  private final DownstreamClient ledger;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final Work work;
  private Runner gauged;
  private long lastSeq;
  private long nextExpiry;
  private long graceEndUs = Long.MAX_VALUE;
  private boolean draining;
  private boolean obeying;
  private boolean good = true;
  private boolean aside;
  private double credit = Double.NaN;
  private long idleUs;
  private double busy;
  private long reckonedUs;

  /** A core that holds nothing yet, in the only process of its node. */
  public Core(
      CoreSettings rules,
      PolicyEngine decisions,
      DownstreamClient ledger,
      LongSupplier clock,
      Counters counters,
      Log log) {
    this(rules, decisions, ledger, IdempotencyClaims.SINGLE_PROCESS, clock, counters, log);
  }

  /** A core that holds nothing yet, beside other processes of its node. */
  public Core(
      CoreSettings rules,
      PolicyEngine decisions,
      DownstreamClient ledger,
      IdempotencyClaims claims,
      LongSupplier clock,
      Counters counters,
      Log log) {
    this.rules = rules;
    this.decisions = decisions;
    this.ledger = ledger;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
    idleUs = rules.idleTimeoutUs();
    work = new Work(rules, ledger, claims, clock, counters, log, this::report);
  }

  // ---- what fronts and the program ask

  /** Whether the cores are up. */
  public boolean ready() {
    return decisions.started();
  }

  /** What health checks are told: bad where the module or an operator says so. */
  public boolean healthy() {
    return good && !aside;
  }

  /**
   * Operators send clients away, or take them again. Only health checks follow it: whatever still
   * comes is run and answered as ever.
   */
  public void setDrainedByOperator(boolean away) {
    if (away != aside) {
      aside = away;
      counters.add(away ? "operators.drains" : "operators.activations");
      log.info(
          away
              ? "an operator sends clients away: health checks are answered as bad"
              : "an operator takes clients again: health checks are answered as good");
    }
  }

  /** The value that goes with answers; not a number while there is none. */
  public double loadAdvice() {
    return credit;
  }

  /** How long connections may stay unused. */
  public long idleTimeoutUs() {
    return idleUs;
  }

  /** The longest time that the rules give a request (us). */
  public long maxTimeoutUs() {
    return rules.maxTimeoutUs();
  }

  /** Requests whose answer is owed, and runs that go on. */
  public int inFlight() {
    return work.size();
  }

  /** Requests whose answer is owed. */
  public long awaitingResponse() {
    return work.all().stream().filter(InFlightRequest::owed).count();
  }

  /** Whether the notice to leave has come. */
  public boolean draining() {
    return draining;
  }

  /** Whether the time within which arrivals may still be run is over. */
  public boolean gracePeriodOver() {
    return clock.getAsLong() > graceEndUs;
  }

  /** Whether each run of a class stands still at a call before it ends. */
  public boolean callsDownstream(int klass) {
    return rules.classes().get(klass).callsDownstream();
  }

  /** The counts of this core. */
  public Counters counters() {
    return counters;
  }

  /** Whether a request in hand goes by a number of a class. */
  public boolean classInUse(int klass) {
    return work.all().stream().anyMatch(life -> life.request.classIndex() == klass);
  }

  /** Whether a request in hand goes by a number of a tenant. */
  public boolean tenantInUse(int tenant) {
    return work.all().stream().anyMatch(life -> life.request.tenantIndex() == tenant);
  }

  // ---- what happens

  /** Other rules from now on. What is in hand keeps the class it came with. */
  public void reconfigure(CoreSettings fresh) {
    rules = fresh;
    work.use(fresh);
  }

  /**
   * The cores are up, since some time; {@code runner} is the one to ask for gauges, null for none.
   */
  public void start(Runner runner, boolean cold, long tookUs) {
    gauged = runner;
    if (!decisions.started()
        && !draining) { // told to leave before the cores were up, it takes up nothing
      decisions.start(clock.getAsLong() - Math.max(0, tookUs), cold);
      obey();
    }
  }

  /** Takes in a request; its answer comes by its front. Returns the handle to withdraw it with. */
  public RequestHandle submit(Request request) {
    counters.add("requests");
    long now = clock.getAsLong();
    RequestClass klass = rules.classes().get(request.classIndex());
    long waitUs = request.timeoutUs() > 0 ? request.timeoutUs() : klass.timeoutUs();
    InFlightRequest life =
        new InFlightRequest(
            ++lastSeq, request, klass, tenant(request), request.arrivedAtUs() + waitUs);
    if (!decisions.started()) {
      work.answer(life, new Response.Rejected(0, false));
      return () -> {};
    }
    FailureReason wrong = work.take(life);
    if (wrong != null) {
      work.answer(life, Work.failed(Progress.NOT_SENT, wrong, FailureCause.CALLER));
      return () -> {};
    }
    long leftUs = Math.max(1, life.dueUs - now);
    report(
        new PolicyEvent.Arrived(
            life.seq,
            request.classIndex(),
            request.tenantIndex(),
            request.readKey(),
            leftUs,
            request.memoryKb(),
            request.rank(),
            request.retry(),
            klass.idempotent(),
            request.callerId(),
            Math.max(0, now - request.arrivedAtUs()),
            work.original(life)));
    return () -> gone(life);
  }

  private String tenant(Request request) {
    return request.tenantIndex() < rules.tenants().size()
        ? rules.tenants().get(request.tenantIndex())
        : "";
  }

  private void gone(InFlightRequest life) {
    if (!life.owed()) {
      return;
    }
    counters.add("gone");
    life.gone();
    if (life.atCall()) {
      work.release(life);
    }
    boolean waited = life.state == RequestState.HELD || life.state == RequestState.ATTACHED;
    report(new PolicyEvent.Cancelled(life.seq));
    if (waited) {
      work.over(life);
    }
  }

  /** A run has ended. */
  public void runEnded(String id, RunResult end, byte[] result, long tookUs) {
    InFlightRequest life = work.of(id);
    if (life == null || !life.ran || life.state == RequestState.HELD) {
      return;
    }
    counters.add("runs." + end.counterSuffix());
    if (life.state == RequestState.CALLING) {
      ledger.cancel(id);
    }
    switch (end) {
      case OK -> work.done(life, result, tookUs);
      case FAILED -> work.broken(life, Progress.RAN, FailureReason.RUN_FAILED, tookUs);
      case INTERRUPTED ->
          work.broken(life, Progress.MAY_HAVE_RUN, FailureReason.RUN_INTERRUPTED, tookUs);
      case UNREACHABLE -> work.unreached(life, tookUs);
      case CANCELLED -> work.halted(life, tookUs);
      case NOT_STARTED -> work.moot(life, tookUs);
    }
  }

  /** A run stands still until its call is made or left out. */
  public void callRequested(String id, long notice, byte[] body) {
    InFlightRequest life = work.of(id);
    if (life == null || life.state != RequestState.RUNNING) {
      return;
    }
    counters.add("wants");
    life.state = RequestState.AT_CALL;
    life.notice = notice;
    life.callBody = body;
    report(new PolicyEvent.NeedsCall(life.seq));
  }

  /** A call below has ended; the reply comes with {@link CallResult#OK} only. */
  public void callEnded(String id, CallResult end, byte[] reply) {
    InFlightRequest life = work.of(id);
    if (life == null || life.state != RequestState.CALLING) {
      return;
    }
    counters.add("calls." + end.counterSuffix());
    long took = clock.getAsLong() - life.calledUs;
    if (end == CallResult.OK) {
      life.state = RequestState.RUNNING;
      life.request.runner().completeCall(id, reply);
    } else {
      life.state = RequestState.AT_CALL;
    }
    report(new PolicyEvent.Called(life.seq, outcome(end), took));
  }

  private static CallOutcome outcome(CallResult end) {
    return switch (end) {
      case OK -> CallOutcome.OK;
      case REJECTED -> CallOutcome.REJECTED;
      case FAILED -> CallOutcome.FAILED;
      case TIMED_OUT -> CallOutcome.TIMEOUT;
      case UNREACHABLE -> CallOutcome.UNREACHABLE;
      case INTERRUPTED -> CallOutcome.RESET;
    };
  }

  /** The gauges have come. */
  public void gaugesReceived(double[] values) {
    if (decisions.started()) {
      report(new PolicyEvent.GaugesRead(values));
    }
  }

  /** A runner did not carry out an order for a request: its run can't be relied on. */
  public void commandRejected(String id, boolean start) {
    InFlightRequest life = work.of(id);
    counters.add("nacks");
    if (life == null || !life.ran || life.state == RequestState.HELD) {
      return;
    }
    if (start) {
      runEnded(id, RunResult.UNREACHABLE, null, 0);
    } else if (life.state == RequestState.RUNNING) {
      work.stop(life); // it waits for what will not come
    }
  }

  /**
   * The notice to leave, which came at a time by the Unix clock, if it is heard only now; {@code
   * leftUs} are left.
   */
  public void drain(long toldUs, long leftUs) {
    if (draining) {
      return;
    }
    draining = true;
    good = false;
    graceEndUs = toldUs + rules.gracePeriodUs();
    if (decisions.started()) {
      report(new PolicyEvent.Draining(leftUs));
    }
  }

  /** Answers whatever is still owed: the last thing before the end. */
  public void respondToAll(FailureReason why) {
    for (InFlightRequest life : work.all()) {
      work.answer(
          life,
          life.ran
              ? Work.failed(life.progress(), why, FailureCause.TIME)
              : new Response.Rejected(0, false));
    }
  }

  /** Runs what is due by the clock; returns when to call again. */
  public long tick() {
    long now = clock.getAsLong();
    if (!decisions.started()) {
      return now + TICK_US;
    }
    if (now >= nextExpiry) {
      work.expire();
      nextExpiry = now + EXPIRE_US;
    }
    work.lookElsewhere();
    long next = decisions.tick(now);
    obey();
    if (gauged != null) {
      gauged.requestGauges();
    } else {
      reckon(now);
    }
    return Math.min(next, now + TICK_US);
  }

  /**
   * Stands in for gauges where no runtime has any: all runs are elsewhere, each taken for one busy
   * core.
   */
  private void reckon(long now) {
    long running = work.running();
    double part = Math.min(1, (now - reckonedUs) / RECKON_US);
    busy += part * (Math.min(1, (double) running / rules.cores()) - busy);
    reckonedUs = now;
    report(new PolicyEvent.LoadMeasured(busy, running));
  }

  // ---- orders

  private void report(PolicyEvent report) {
    decisions.handle(clock.getAsLong(), report);
    obey();
  }

  /**
   * Carries out orders until there are none; those that come of it are carried out in their turn.
   */
  private void obey() {
    if (obeying) {
      return;
    }
    obeying = true;
    try {
      for (PolicyCommand order = decisions.nextCommand();
          order != null;
          order = decisions.nextCommand()) {
        obey(order);
      }
    } finally {
      obeying = false;
    }
  }

  private void obey(PolicyCommand order) {
    if (order instanceof PolicyCommand.Run o) {
      with(o.id(), life -> work.run(life, life.request.arrivedAtUs() > graceEndUs));
    } else if (order instanceof PolicyCommand.Reject o) {
      with(o.id(), life -> work.refuse(life, o.retryAfterUs(), o.noRetry()));
    } else if (order instanceof PolicyCommand.Fail o) {
      with(o.id(), work::fail);
    } else if (order instanceof PolicyCommand.Cancel o) {
      with(o.id(), work::stop);
    } else if (order instanceof PolicyCommand.Call o) {
      with(o.id(), life -> work.call(life, o.untilUs()));
    } else if (order instanceof PolicyCommand.SkipCall o) {
      with(o.id(), work::skip);
    } else if (order instanceof PolicyCommand.RememberKey o) {
      with(o.id(), life -> work.keep(life, o.forUs()));
    } else if (order instanceof PolicyCommand.ForgetKey o) {
      with(o.id(), work::forget);
    } else if (order instanceof PolicyCommand.ReplayResult o) {
      with(o.id(), work::reuse);
    } else if (order instanceof PolicyCommand.SetHealth o) {
      good = o.healthy();
    } else if (order instanceof PolicyCommand.SetLoadAdvice o) {
      credit = o.value();
    } else if (order instanceof PolicyCommand.SetIdleTimeout o) {
      idleUs = o.timeoutUs() > 0 ? o.timeoutUs() : rules.idleTimeoutUs();
    } else if (order instanceof PolicyCommand.LogLine o) {
      log.info(o.line());
    }
  }

  private void with(long seq, Consumer<InFlightRequest> what) {
    InFlightRequest life = work.of(seq);
    if (life != null) { // an order that comes too late is no harm
      what.accept(life);
    }
  }
}
