package rosecleat.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.PolicyEvent;
import rosecleat.policy.RunOutcome;

/**
 * The requests in hand, and what is done to them: the steps of their lives, each with its due
 * answers.
 */
final class Work {
  /** Sockets get so much longer than the settings say; keys are kept at least as long. */
  private static final long SOCKET_SLACK_US = 50_000;

  /** A run that has not ended so long after its answer was due is not waited for any more (us). */
  private static final long LOST_US = 30_000_000;

  private CoreSettings rules;
  private final DownstreamClient ledger;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final Consumer<PolicyEvent> reports;
  private final IdempotencyClaims claims;
  private final IdempotencyTable keys;
  private final Map<Long, InFlightRequest> lives = new HashMap<>();
  private final Map<String, InFlightRequest> byId = new HashMap<>();

  /** Nothing in hand yet; what happens to requests here is reported to the module. */
  Work(
      CoreSettings rules,
      DownstreamClient ledger,
      IdempotencyClaims claims,
      LongSupplier clock,
      Counters counters,
      Log log,
      Consumer<PolicyEvent> reports) {
    this.ledger = ledger;
    this.claims = claims;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
    this.reports = reports;
    keys = new IdempotencyTable(rules.maxResultBytes());
    use(rules);
  }

  /** Other rules from now on; what is in hand keeps its class. */
  void use(CoreSettings fresh) {
    rules = fresh;
    keys.keepLate(fresh.maxTimeoutUs());
  }

  // ---- what is in hand

  InFlightRequest of(long seq) {
    return lives.get(seq);
  }

  InFlightRequest of(String id) {
    return byId.get(id);
  }

  List<InFlightRequest> all() {
    return List.copyOf(lives.values());
  }

  int size() {
    return lives.size();
  }

  long running() {
    return lives.values().stream().filter(life -> life.state == RequestState.RUNNING).count();
  }

  /** Takes a request in hand; returns what contradicts that, or null. */
  FailureReason take(InFlightRequest life) {
    if (byId.containsKey(life.request.id())) { // two runs under one name could not be told apart
      return FailureReason.DUPLICATE_REQUEST_ID;
    }
    if (keyed(life)
        && keys.find(life) == null
        && claims.status(IdempotencyTable.name(life))
            instanceof IdempotencyClaims.OwnedByPeer others
        && life.request.arrivedAtUs() <= others.untilUs()) {
      keys.elsewhere(life, others);
    }
    if (keyed(life) && keys.differs(life)) {
      return FailureReason.IDEMPOTENCY_KEY_CONFLICT;
    }
    lives.put(life.seq, life);
    byId.put(life.request.id(), life);
    return null;
  }

  /** The number of the kept try that a request repeats, 0 for none. */
  long original(InFlightRequest life) {
    return keyed(life) ? keys.original(life) : 0;
  }

  /** Drops keys that have lapsed, and runs whose end was lost. */
  void expire() {
    long now = clock.getAsLong();
    keys.expire(now);
    for (InFlightRequest life : all()) {
      if (!life.owed() && now > life.dueUs + LOST_US) {
        lost(life, now);
      }
    }
  }

  /**
   * Guards against ends that a broken link swallowed: without this the module would count such a
   * run as running for ever, and run fewer and fewer others.
   */
  private void lost(InFlightRequest life, long now) {
    counters.add("runs.lost");
    log.warn("a run has not ended long after its answer was due, and is forgotten");
    stop(life);
    broken(life, Progress.MAY_HAVE_RUN, FailureReason.RUN_END_LOST, now - life.startedUs);
  }

  // ---- orders

  /**
   * Starts a run; what came after the grace is turned away instead. Guards the drain: the module
   * reckons the grace from when it heard of the notice, and a busy loop hears of it late.
   */
  void run(InFlightRequest life, boolean late) {
    if (life.state != RequestState.HELD || !life.owed()) {
      return;
    }
    if (keyed(life)) {
      IdempotencyTable.Entry known = keys.find(life);
      if (life.ran
          || known != null && keys.original(life) != 0 && keys.original(life) != life.seq) {
        log.warn("a run of a keyed request that may have run was not started");
        answer(
            life,
            failed(
                Progress.MAY_HAVE_RUN,
                FailureReason.EARLIER_ATTEMPT_MAY_HAVE_RUN,
                FailureCause.BACKEND));
        settle(life, RunOutcome.NOT_STARTED, 0); // the module takes it for running
        return;
      }
    }
    if (late) {
      counters.add("late.notrun");
      answer(life, life.ran ? givenUp(life) : new Response.Rejected(0, false));
      settle(life, RunOutcome.NOT_STARTED, 0);
      return;
    }
    if (keyed(life)) {
      if (!claimed(life)) {
        return;
      }
      keys.running(life, keyUntil(life)); // remembered before the runner hears of it
    }
    life.state = RequestState.RUNNING;
    life.ran = true;
    life.startedUs = clock.getAsLong();
    counters.add("starts");
    life.request.runner().start(life.request, life.dueUs);
  }

  /**
   * Guards against a second run in another process of this node: only who claims the key may run
   * it. The module takes what is not run here for running until it hears otherwise.
   */
  private boolean claimed(InFlightRequest life) {
    IdempotencyClaims.ClaimStatus standing =
        claims.claim(
            IdempotencyTable.name(life),
            IdempotencyTable.digest(life.request.body()),
            keyUntil(life));
    if (standing instanceof IdempotencyClaims.Owned) {
      return true;
    }
    if (standing instanceof IdempotencyClaims.OwnedByPeer others
        && life.request.arrivedAtUs() <= others.untilUs()) {
      IdempotencyTable.Entry entry = keys.elsewhere(life, others);
      if (keys.differs(life)) {
        answer(
            life,
            failed(Progress.NOT_SENT, FailureReason.IDEMPOTENCY_KEY_CONFLICT, FailureCause.CALLER));
      } else {
        life.elsewhere = true;
        life.state = RequestState.ATTACHED;
        life.startedUs = clock.getAsLong();
        keys.wait(entry, life);
        return false;
      }
    } else {
      answer(
          life,
          new Response.Rejected(
              0, false)); // lapsed elsewhere and not free yet, or no room for more claims
    }
    settle(life, RunOutcome.NOT_STARTED, 0);
    return false;
  }

  /** Asks what became of the runs of other processes that somebody here waits for. */
  void lookElsewhere() {
    for (IdempotencyTable.Entry entry : keys.elsewhere()) {
      if (entry.awaited()) {
        lookElsewhere(entry);
      }
    }
  }

  private void lookElsewhere(IdempotencyTable.Entry entry) {
    IdempotencyClaims.PeerRun run = claims.peerRun(entry.name());
    if (!(run instanceof IdempotencyClaims.Pending)) {
      byte[] result =
          run instanceof IdempotencyClaims.Completed completed ? completed.result() : null;
      counters.add(result != null ? "elsewhere.results" : "elsewhere.nothing");
      keys.endedElsewhere(entry, result, run instanceof IdempotencyClaims.NeverRan)
          .forEach(repeat -> reused(repeat, result));
    }
  }

  private long keyUntil(InFlightRequest life) {
    return life.request.arrivedAtUs()
        + life.klass.idempotencyWindowUs()
        + rules.deadlineSlackUs()
        + SOCKET_SLACK_US;
  }

  /**
   * Only a try that never ran is turned away; one that did has failed, whatever the module calls
   * it.
   */
  void refuse(InFlightRequest life, long holdOffUs, boolean last) {
    finish(life, life.ran ? givenUp(life) : new Response.Rejected(holdOffUs, last));
  }

  void fail(InFlightRequest life) {
    finish(life, givenUp(life));
  }

  private static Response givenUp(InFlightRequest life) {
    return failed(life.progress(), FailureReason.ABANDONED, FailureCause.TIME);
  }

  private void finish(InFlightRequest life, Response answer) {
    answer(life, answer);
    if (life.atCall()) {
      release(life);
    } else if (life.state != RequestState.RUNNING) {
      over(life);
    }
  }

  /** Ends a run that stands at a call: the call is given up and the run stopped. */
  void release(InFlightRequest life) {
    if (life.state == RequestState.CALLING) {
      ledger.cancel(life.request.id());
    }
    life.state = RequestState.RUNNING; // a reply that crosses finds nothing that waits for it
    stop(life);
  }

  void stop(InFlightRequest life) {
    if (life.ran
        && !life.stopping
        && life.state != RequestState.HELD
        && life.state != RequestState.OVER) {
      life.stopping = true;
      counters.add("stops");
      life.request.runner().cancel(life.request.id());
    }
  }

  void call(InFlightRequest life, long untilUs) {
    if (life.state != RequestState.AT_CALL || !life.owed()) {
      return;
    }
    life.state = RequestState.CALLING;
    life.calledUs = clock.getAsLong();
    counters.add("calls");
    ledger.call(life.request.id(), untilUs, life.callBody);
  }

  void skip(InFlightRequest life) {
    if (life.state == RequestState.AT_CALL) {
      life.state = RequestState.RUNNING;
      counters.add("skips");
      life.request.runner().skipCall(life.request.id(), life.notice);
    }
  }

  void keep(InFlightRequest life, long forUs) {
    if (keyed(life)) {
      keys.keep(life, Math.max(clock.getAsLong() + forUs, keyUntil(life)));
    }
  }

  void reuse(InFlightRequest life) {
    IdempotencyTable.Entry entry = keyed(life) ? keys.find(life) : null;
    life.state = RequestState.ATTACHED;
    life.startedUs = clock.getAsLong();
    if (entry != null && !entry.ended()) {
      keys.wait(entry, life);
      lookElsewhere();
    } else {
      reused(life, entry == null ? null : entry.result());
    }
  }

  void forget(InFlightRequest life) {
    keys.forget(life);
  }

  // ---- ends of runs

  /** Its run brought a result, for itself and for the repeats that waited. */
  void done(InFlightRequest life, byte[] result, long tookUs) {
    answer(life, new Response.Completed(result));
    settle(life, RunOutcome.OK, tookUs);
    resolve(life, result);
  }

  /** Its runner holds it for over. */
  void moot(InFlightRequest life, long tookUs) {
    answer(life, failed(Progress.SENT, FailureReason.RUN_NOT_STARTED, FailureCause.TIME));
    settle(life, RunOutcome.NOT_STARTED, tookUs);
    resolve(life, null);
  }

  /** Its run came to nothing. */
  void broken(InFlightRequest life, Progress progress, FailureReason reason, long tookUs) {
    answer(life, failed(progress, reason, FailureCause.BACKEND));
    settle(life, RunOutcome.FAILED, tookUs);
    resolve(life, null);
  }

  /** It is proven that nothing ran: a keyed request may come again and run then. */
  void unreached(InFlightRequest life, long tookUs) {
    List<InFlightRequest> waited = keyed(life) ? keys.neverRan(life) : List.of();
    if (keyed(life)) {
      claims.neverRan(IdempotencyTable.name(life));
    }
    life.ran = false;
    answer(life, failed(Progress.NOT_SENT, FailureReason.RUNNER_UNREACHABLE, FailureCause.BACKEND));
    settle(life, RunOutcome.FAILED, tookUs);
    waited.forEach(repeat -> reused(repeat, null));
  }

  /** Its run was stopped. */
  void halted(InFlightRequest life, long tookUs) {
    life.stopping = false;
    if (life.owed()) { // held again, with nothing to show for its work
      life.state = RequestState.HELD;
      reports.accept(new PolicyEvent.Ended(life.seq, RunOutcome.CANCELLED, tookUs));
    } else {
      settle(life, RunOutcome.CANCELLED, tookUs);
    }
    resolve(life, null);
  }

  private void settle(InFlightRequest life, RunOutcome outcome, long tookUs) {
    over(life);
    reports.accept(new PolicyEvent.Ended(life.seq, outcome, tookUs));
  }

  /** Answers the repeats that waited for a run with what it brought. */
  private void resolve(InFlightRequest life, byte[] result) {
    if (keyed(life)) {
      if (result != null) {
        claims.completed(IdempotencyTable.name(life), result);
      } else {
        claims.endedWithoutResult(IdempotencyTable.name(life));
      }
      keys.ended(life, result).forEach(repeat -> reused(repeat, result));
    }
  }

  private void reused(InFlightRequest repeat, byte[] result) {
    if (repeat.state != RequestState.ATTACHED) {
      return; // it was given up on while it waited
    }
    counters.add(result != null ? "reused" : "reused.nothing");
    answer(
        repeat,
        result != null
            ? new Response.Completed(result)
            : failed(
                Progress.MAY_HAVE_RUN,
                FailureReason.EARLIER_ATTEMPT_HAS_NO_RESULT,
                FailureCause.BACKEND));
    settle(
        repeat,
        result != null ? RunOutcome.OK : RunOutcome.FAILED,
        clock.getAsLong() - repeat.startedUs);
  }

  // ---- answers

  private static boolean keyed(InFlightRequest life) {
    return life.klass.idempotent();
  }

  static Response.Failed failed(Progress progress, FailureReason reason, FailureCause cause) {
    return new Response.Failed(new Failure(progress, reason), cause);
  }

  void answer(InFlightRequest life, Response answer) {
    if (!life.owed()) {
      return;
    }
    if (answer instanceof Response.Completed) {
      counters.add("answers.served");
    } else if (answer instanceof Response.Rejected) {
      counters.add("answers.refused");
    } else {
      counters.add("answers.failed");
    }
    life.respond(answer);
  }

  void over(InFlightRequest life) {
    life.state = RequestState.OVER;
    lives.remove(life.seq);
    byId.remove(life.request.id(), life);
    if (life.elsewhere) { // the module takes it for running, and would do so for ever
      life.elsewhere = false;
      reports.accept(new PolicyEvent.Ended(life.seq, RunOutcome.NOT_STARTED, 0));
    }
  }
}
