package rosecleat.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.Decisions.Report;
import rosecleat.policy.Decisions.RunOutcome;

/**
 * The requests in hand, and what is done to them: the steps of their lives, each with its due
 * answers.
 */
final class Work {
  /** Sockets get so much longer than the settings say; keys are kept at least as long. */
  private static final long SOCKET_SLACK_US = 50_000;

  /** A run that has not ended so long after its answer was due is not waited for any more (us). */
  private static final long LOST_US = 30_000_000;

  private Core.Rules rules;
  private final Ledger ledger;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final Consumer<Report> reports;
  private final Claims claims;
  private final KeyTable keys;
  private final Map<Long, Life> lives = new HashMap<>();
  private final Map<String, Life> byId = new HashMap<>();

  /** Nothing in hand yet; what happens to requests here is reported to the module. */
  Work(
      Core.Rules rules,
      Ledger ledger,
      Claims claims,
      LongSupplier clock,
      Counters counters,
      Log log,
      Consumer<Report> reports) {
    this.ledger = ledger;
    this.claims = claims;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
    this.reports = reports;
    keys = new KeyTable(rules.resultBytes());
    use(rules);
  }

  /** Other rules from now on; what is in hand keeps its class. */
  void use(Core.Rules fresh) {
    rules = fresh;
    keys.keepLate(fresh.classes().stream().mapToLong(Core.RequestClass::dueUs).max().orElse(0));
  }

  // ---- what is in hand

  Life of(long seq) {
    return lives.get(seq);
  }

  Life of(String id) {
    return byId.get(id);
  }

  List<Life> all() {
    return List.copyOf(lives.values());
  }

  int size() {
    return lives.size();
  }

  long running() {
    return lives.values().stream().filter(life -> life.state == Life.State.RUNNING).count();
  }

  /** Takes a request in hand; says what contradicts that, or null. */
  String take(Life life) {
    if (byId.containsKey(life.request.id())) { // two runs under one name could not be told apart
      return "a request of this id is in hand";
    }
    if (keyed(life)
        && keys.find(life) == null
        && claims.look(KeyTable.name(life)) instanceof Claims.Others others
        && life.request.atUs() <= others.untilUs()) {
      keys.elsewhere(life, others);
    }
    if (keyed(life) && keys.differs(life)) {
      return "the key belongs to another body";
    }
    lives.put(life.seq, life);
    byId.put(life.request.id(), life);
    return null;
  }

  /** The number of the kept try that a request repeats, 0 for none. */
  long original(Life life) {
    return keyed(life) ? keys.original(life) : 0;
  }

  /** Drops keys that have lapsed, and runs whose end was lost. */
  void expire() {
    long now = clock.getAsLong();
    keys.expire(now);
    for (Life life : all()) {
      if (!life.owed() && now > life.dueUs + LOST_US) {
        lost(life, now);
      }
    }
  }

  /**
   * Guards against ends that a broken link swallowed: without this the module would count such a
   * run as running for ever, and run fewer and fewer others.
   */
  private void lost(Life life, long now) {
    counters.add("runs.lost");
    log.warn("a run has not ended long after its answer was due, and is forgotten");
    stop(life);
    broken(life, Progress.MAY_HAVE_RUN, "its end was lost", now - life.startedUs);
  }

  // ---- orders

  /**
   * Starts a run; what came after the grace is turned away instead. Guards the drain: the module
   * reckons the grace from when it heard of the notice, and a busy loop hears of it late.
   */
  void run(Life life, boolean late) {
    if (life.state != Life.State.HELD || !life.owed()) {
      return;
    }
    if (keyed(life)) {
      KeyTable.Entry known = keys.find(life);
      if (life.ran
          || known != null && keys.original(life) != 0 && keys.original(life) != life.seq) {
        log.warn("a run of a keyed request that may have run was not started");
        answer(
            life, failed(Progress.MAY_HAVE_RUN, "another try may have run", Answer.Cause.BACKEND));
        settle(life, RunOutcome.MOOT, 0); // the module takes it for running
        return;
      }
    }
    if (late) {
      counters.add("late.notrun");
      answer(life, life.ran ? givenUp(life) : new Answer.Refused(0, false));
      settle(life, RunOutcome.MOOT, 0);
      return;
    }
    if (keyed(life)) {
      if (!claimed(life)) {
        return;
      }
      keys.running(life, keyUntil(life)); // remembered before the runner hears of it
    }
    life.state = Life.State.RUNNING;
    life.ran = true;
    life.startedUs = clock.getAsLong();
    counters.add("starts");
    life.request.runner().start(life.request, life.dueUs);
  }

  /**
   * Guards against a second run in another process of this node: only who claims the key may run
   * it. The module takes what is not run here for running until it hears otherwise.
   */
  private boolean claimed(Life life) {
    Claims.Standing standing =
        claims.claim(KeyTable.name(life), KeyTable.digest(life.request.body()), keyUntil(life));
    if (standing instanceof Claims.Mine) {
      return true;
    }
    if (standing instanceof Claims.Others others && life.request.atUs() <= others.untilUs()) {
      KeyTable.Entry entry = keys.elsewhere(life, others);
      if (keys.differs(life)) {
        answer(
            life,
            failed(Progress.NOT_SENT, "the key belongs to another body", Answer.Cause.CALLER));
      } else {
        life.elsewhere = true;
        life.state = Life.State.ATTACHED;
        life.startedUs = clock.getAsLong();
        keys.wait(entry, life);
        return false;
      }
    } else {
      answer(
          life,
          new Answer.Refused(
              0, false)); // lapsed elsewhere and not free yet, or no room for more claims
    }
    settle(life, RunOutcome.MOOT, 0);
    return false;
  }

  /** Asks what became of the runs of other processes that somebody here waits for. */
  void lookElsewhere() {
    for (KeyTable.Entry entry : keys.elsewhere()) {
      if (entry.awaited()) {
        lookElsewhere(entry);
      }
    }
  }

  private void lookElsewhere(KeyTable.Entry entry) {
    Claims.Outcome outcome = claims.outcome(entry.name());
    if (outcome != null) {
      counters.add(outcome.result() != null ? "elsewhere.results" : "elsewhere.nothing");
      keys.endedElsewhere(entry, outcome).forEach(repeat -> reused(repeat, outcome.result()));
    }
  }

  private long keyUntil(Life life) {
    return life.request.atUs() + life.klass.windowUs() + rules.slackUs() + SOCKET_SLACK_US;
  }

  /**
   * Only a try that never ran is turned away; one that did has failed, whatever the module calls
   * it.
   */
  void refuse(Life life, long holdOffUs, boolean last) {
    finish(life, life.ran ? givenUp(life) : new Answer.Refused(holdOffUs, last));
  }

  void fail(Life life) {
    finish(life, givenUp(life));
  }

  private static Answer givenUp(Life life) {
    return failed(life.progress(), "given up", Answer.Cause.TIME);
  }

  private void finish(Life life, Answer answer) {
    answer(life, answer);
    if (life.atCall()) {
      release(life);
    } else if (life.state != Life.State.RUNNING) {
      over(life);
    }
  }

  /** Ends a run that stands at a call: the call is given up and the run stopped. */
  void release(Life life) {
    if (life.state == Life.State.CALLING) {
      ledger.cancel(life.request.id());
    }
    life.state = Life.State.RUNNING; // a reply that crosses finds nothing that waits for it
    stop(life);
  }

  void stop(Life life) {
    if (life.ran
        && !life.stopping
        && life.state != Life.State.HELD
        && life.state != Life.State.OVER) {
      life.stopping = true;
      counters.add("stops");
      life.request.runner().stop(life.request.id());
    }
  }

  void call(Life life, long untilUs) {
    if (life.state != Life.State.AT_CALL || !life.owed()) {
      return;
    }
    life.state = Life.State.CALLING;
    life.calledUs = clock.getAsLong();
    counters.add("calls");
    ledger.call(life.request.id(), untilUs, life.callBody);
  }

  void skip(Life life) {
    if (life.state == Life.State.AT_CALL) {
      life.state = Life.State.RUNNING;
      counters.add("skips");
      life.request.runner().omit(life.request.id(), life.notice);
    }
  }

  void keep(Life life, long forUs) {
    if (keyed(life)) {
      keys.keep(life, Math.max(clock.getAsLong() + forUs, keyUntil(life)));
    }
  }

  void reuse(Life life) {
    KeyTable.Entry entry = keyed(life) ? keys.find(life) : null;
    life.state = Life.State.ATTACHED;
    life.startedUs = clock.getAsLong();
    if (entry != null && !entry.ended()) {
      keys.wait(entry, life);
      lookElsewhere();
    } else {
      reused(life, entry == null ? null : entry.result());
    }
  }

  void forget(Life life) {
    keys.forget(life);
  }

  // ---- ends of runs

  /** Its run brought a result, for itself and for the repeats that waited. */
  void done(Life life, byte[] result, long tookUs) {
    answer(life, new Answer.Served(result));
    settle(life, RunOutcome.OK, tookUs);
    resolve(life, result);
  }

  /** Its runner holds it for over. */
  void moot(Life life, long tookUs) {
    answer(life, failed(Progress.SENT, "its runner holds it for over", Answer.Cause.TIME));
    settle(life, RunOutcome.MOOT, tookUs);
    resolve(life, null);
  }

  /** Its run came to nothing. */
  void broken(Life life, Progress progress, String why, long tookUs) {
    answer(life, failed(progress, why, Answer.Cause.BACKEND));
    settle(life, RunOutcome.FAILED, tookUs);
    resolve(life, null);
  }

  /** It is proven that nothing ran: a keyed request may come again and run then. */
  void unreached(Life life, long tookUs) {
    List<Life> waited = keyed(life) ? keys.neverRan(life) : List.of();
    if (keyed(life)) {
      claims.neverRan(KeyTable.name(life));
    }
    life.ran = false;
    answer(life, failed(Progress.NOT_SENT, "its runner was not reached", Answer.Cause.BACKEND));
    settle(life, RunOutcome.FAILED, tookUs);
    waited.forEach(repeat -> reused(repeat, null));
  }

  /** Its run was stopped. */
  void halted(Life life, long tookUs) {
    life.stopping = false;
    if (life.owed()) { // held again, with nothing to show for its work
      life.state = Life.State.HELD;
      reports.accept(new Report.Ended(life.seq, RunOutcome.HALTED, tookUs));
    } else {
      settle(life, RunOutcome.HALTED, tookUs);
    }
    resolve(life, null);
  }

  private void settle(Life life, RunOutcome outcome, long tookUs) {
    over(life);
    reports.accept(new Report.Ended(life.seq, outcome, tookUs));
  }

  /** Answers the repeats that waited for a run with what it brought. */
  private void resolve(Life life, byte[] result) {
    if (keyed(life)) {
      claims.ended(KeyTable.name(life), result);
      keys.ended(life, result).forEach(repeat -> reused(repeat, result));
    }
  }

  private void reused(Life repeat, byte[] result) {
    if (repeat.state != Life.State.ATTACHED) {
      return; // it was given up on while it waited
    }
    counters.add(result != null ? "reused" : "reused.nothing");
    answer(
        repeat,
        result != null
            ? new Answer.Served(result)
            : failed(
                Progress.MAY_HAVE_RUN, "another try ran and has no result", Answer.Cause.BACKEND));
    settle(
        repeat,
        result != null ? RunOutcome.OK : RunOutcome.FAILED,
        clock.getAsLong() - repeat.startedUs);
  }

  // ---- answers

  private static boolean keyed(Life life) {
    return life.klass.keyed();
  }

  static Answer.Failed failed(Progress progress, String why, Answer.Cause cause) {
    return new Answer.Failed(new Fault(progress, why), cause);
  }

  void answer(Life life, Answer answer) {
    if (!life.owed()) {
      return;
    }
    if (answer instanceof Answer.Served) {
      counters.add("answers.served");
    } else if (answer instanceof Answer.Refused) {
      counters.add("answers.refused");
    } else {
      counters.add("answers.failed");
    }
    life.answer(answer);
  }

  void over(Life life) {
    life.state = Life.State.OVER;
    lives.remove(life.seq);
    byId.remove(life.request.id(), life);
    if (life.elsewhere) { // the module takes it for running, and would do so for ever
      life.elsewhere = false;
      reports.accept(new Report.Ended(life.seq, RunOutcome.MOOT, 0));
    }
  }
}
