package rosecleat.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.Decisions;
import rosecleat.policy.Decisions.CallOutcome;
import rosecleat.policy.Decisions.Order;
import rosecleat.policy.Decisions.Report;
import rosecleat.policy.Decisions.RunOutcome;

/**
 * The life of every request, whatever wire it came by: it is held, run, called for and answered as the
 * module decides, and answered once. Knows no wire. For one thread.
 */
public final class Core {
  /** What the core needs to know of a class. */
  public record Klass(String name, boolean keyed, long windowUs, long dueUs) { }

  /** Figures the core works under: microseconds and bytes. */
  public record Rules(int cores, List<Klass> classes, long slackUs, long graceUs, long idleUs, long resultBytes) { }

  private static final long TICK_US = 20_000;
  private static final long EXPIRE_US = 1_000_000;
  private static final double RECKON_US = 500_000;
  /** Sockets get so much longer than the settings say; keys are kept at least as long. */
  private static final long SOCKET_SLACK_US = 50_000;

  private final Rules rules;
  private final Decisions decisions;
  private final Ledger ledger;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;
  private final KeyTable keys;
  private final Map<Long, Life> lives = new HashMap<>();
  private final Map<String, Life> byId = new HashMap<>();
  private Runner gauged;
  private long lastSeq;
  private long nextExpiry;
  private long graceEndUs = Long.MAX_VALUE;
  private boolean draining;
  private boolean obeying;
  private boolean good = true;
  private double credit = Double.NaN;
  private long idleUs;
  private double busy;
  private long reckonedUs;

  /** A core that holds nothing yet. */
  public Core(Rules rules, Decisions decisions, Ledger ledger, LongSupplier clock, Counters counters, Log log) {
    this.rules = rules;
    this.decisions = decisions;
    this.ledger = ledger;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
    idleUs = rules.idleUs();
    long longest = rules.classes().stream().mapToLong(Klass::dueUs).max().orElse(0);
    keys = new KeyTable(longest, rules.resultBytes());
  }

  // ---- what fronts and the program ask

  /** Whether the cores are up. */
  public boolean ready() {
    return decisions.begun();
  }

  /** What health checks are told. */
  public boolean good() {
    return good;
  }

  /** The value that goes with answers; not a number while there is none. */
  public double credit() {
    return credit;
  }

  /** How long connections may stay unused. */
  public long idleUs() {
    return idleUs;
  }

  /** Requests whose answer is owed, and runs that go on. */
  public int inHand() {
    return lives.size();
  }

  /** Requests whose answer is owed. */
  public long owed() {
    return lives.values().stream().filter(Life::owed).count();
  }

  /** Whether the notice to leave has come. */
  public boolean draining() {
    return draining;
  }

  /** Whether the time within which arrivals may still be run is over. */
  public boolean pastGrace() {
    return clock.getAsLong() > graceEndUs;
  }

  /** The counts of this core. */
  public Counters counters() {
    return counters;
  }

  // ---- what happens

  /** The cores are up, since some time; {@code runner} is the one to ask for gauges, null for none. */
  public void begin(Runner runner, boolean cold, long tookUs) {
    gauged = runner;
    if (!decisions.begun()) {
      decisions.begin(clock.getAsLong() - Math.max(0, tookUs), cold);
      obey();
    }
  }

  /** Takes in a request; its answer comes by its front. Returns the handle to withdraw it with. */
  public Handle submit(Ask ask) {
    counters.add("requests");
    long now = clock.getAsLong();
    Klass klass = rules.classes().get(ask.klass());
    long waitUs = ask.waitUs() > 0 ? ask.waitUs() : klass.dueUs();
    Life life = new Life(++lastSeq, ask, ask.atUs() + waitUs);
    if (!decisions.begun()) {
      answer(life, new Answer.Refused(0, false));
      return () -> { };
    }
    if (byId.containsKey(ask.id())) { // two runs under one name could not be told apart
      answer(life, failed(Progress.NOT_SENT, "a request of this id is in hand", Answer.Cause.CALLER));
      return () -> { };
    }
    if (klass.keyed() && keys.differs(ask)) {
      answer(life, failed(Progress.NOT_SENT, "the key belongs to another body", Answer.Cause.CALLER));
      return () -> { };
    }
    lives.put(life.seq, life);
    byId.put(ask.id(), life);
    long original = klass.keyed() ? keys.original(ask) : 0;
    long leftUs = Math.max(1, life.dueUs - now);
    report(new Report.Arrived(life.seq, ask.klass(), ask.tenant(), ask.key(), leftUs, ask.kb(), ask.rank(),
        ask.retry(), klass.keyed(), ask.caller(), Math.max(0, now - ask.atUs()), original));
    return () -> gone(life);
  }

  /** Withdraws a request. */
  public interface Handle {
    /** Its caller has gone: no answer is owed. */
    void gone();
  }

  private void gone(Life life) {
    if (!life.owed()) {
      return;
    }
    counters.add("gone");
    life.gone();
    if (life.atCall()) {
      release(life);
    }
    boolean waited = life.state == Life.State.HELD || life.state == Life.State.ATTACHED;
    report(new Report.Gone(life.seq));
    if (waited) {
      over(life);
    }
  }

  /** A run has ended. */
  public void ended(String id, Runner.End end, byte[] result, long tookUs) {
    Life life = byId.get(id);
    if (life == null || !life.ran || life.state == Life.State.HELD) {
      return;
    }
    counters.add("runs." + end.name().toLowerCase(java.util.Locale.ROOT));
    if (life.state == Life.State.CALLING) {
      ledger.giveUp(id);
    }
    boolean keyed = keyed(life);
    switch (end) {
      case OK -> {
        answer(life, new Answer.Served(result));
        settle(life, RunOutcome.OK, tookUs);
        resolve(keyed, life, result, tookUs);
      }
      case FAILED -> broken(life, Progress.RAN, "its run failed", tookUs);
      case CUT -> broken(life, Progress.MAY_HAVE_RUN, "its run was cut off", tookUs);
      case UNREACHED -> unreached(life, tookUs);
      case HALTED -> halted(life, tookUs);
      case VOID -> {
        answer(life, failed(Progress.SENT, "its runner holds it for over", Answer.Cause.TIME));
        settle(life, RunOutcome.MOOT, tookUs);
        resolve(keyed, life, null, tookUs);
      }
    }
  }

  private void broken(Life life, Progress progress, String why, long tookUs) {
    boolean keyed = keyed(life);
    answer(life, failed(progress, why, Answer.Cause.BACKEND));
    settle(life, RunOutcome.FAILED, tookUs);
    resolve(keyed, life, null, tookUs);
  }

  /** It is proven that nothing ran: a keyed request may come again and run then. */
  private void unreached(Life life, long tookUs) {
    List<Life> waited = keyed(life) ? keys.neverRan(life) : List.of();
    life.ran = false;
    answer(life, failed(Progress.NOT_SENT, "its runner was not reached", Answer.Cause.BACKEND));
    settle(life, RunOutcome.FAILED, tookUs);
    waited.forEach(repeat -> reused(repeat, null));
  }

  private void halted(Life life, long tookUs) {
    boolean keyed = keyed(life);
    life.stopping = false;
    if (life.owed()) { // held again, with nothing to show for its work
      life.state = Life.State.HELD;
      report(new Report.Ended(life.seq, RunOutcome.HALTED, tookUs));
    } else {
      settle(life, RunOutcome.HALTED, tookUs);
    }
    resolve(keyed, life, null, tookUs);
  }

  private void settle(Life life, RunOutcome outcome, long tookUs) {
    over(life);
    report(new Report.Ended(life.seq, outcome, tookUs));
  }

  /** Answers the repeats that waited for a run with what it brought. */
  private void resolve(boolean keyed, Life life, byte[] result, long tookUs) {
    if (!keyed) {
      return;
    }
    keys.ended(life, result).forEach(repeat -> reused(repeat, result));
  }

  private void reused(Life repeat, byte[] result) {
    if (repeat.state != Life.State.ATTACHED) {
      return; // it was given up on while it waited
    }
    counters.add(result != null ? "reused" : "reused.nothing");
    answer(repeat, result != null ? new Answer.Served(result)
        : failed(Progress.MAY_HAVE_RUN, "another try ran and has no result", Answer.Cause.BACKEND));
    settle(repeat, result != null ? RunOutcome.OK : RunOutcome.FAILED, clock.getAsLong() - repeat.startedUs);
  }

  /** A run stands still until its call is made or left out. */
  public void wants(String id, long notice, byte[] body) {
    Life life = byId.get(id);
    if (life == null || life.state != Life.State.RUNNING) {
      return;
    }
    counters.add("wants");
    life.state = Life.State.AT_CALL;
    life.notice = notice;
    life.callBody = body;
    report(new Report.NeedsCall(life.seq));
  }

  /** A call below has ended; the reply comes with {@link Ledger.End#HIT} only. */
  public void called(String id, Ledger.End end, byte[] reply) {
    Life life = byId.get(id);
    if (life == null || life.state != Life.State.CALLING) {
      return;
    }
    counters.add("calls." + end.name().toLowerCase(java.util.Locale.ROOT));
    long took = clock.getAsLong() - life.calledUs;
    if (end == Ledger.End.HIT) {
      life.state = Life.State.RUNNING;
      life.ask.runner().give(id, reply);
    } else {
      life.state = Life.State.AT_CALL;
    }
    report(new Report.Called(life.seq, outcome(end), took));
  }

  private static CallOutcome outcome(Ledger.End end) {
    return switch (end) {
      case HIT -> CallOutcome.OK;
      case SHED -> CallOutcome.SHED;
      case BROKEN -> CallOutcome.FAILED;
      case SLOW -> CallOutcome.TIMEOUT;
      case UNREACHED -> CallOutcome.UNREACHED;
      case CUT -> CallOutcome.CUT;
    };
  }

  /** The gauges have come. */
  public void gauges(double[] values) {
    if (decisions.begun()) {
      report(new Report.GaugesRead(values));
    }
  }

  /** A runner did not carry out an order for a request: its run can't be relied on. */
  public void nacked(String id, boolean start) {
    Life life = byId.get(id);
    counters.add("nacks");
    if (life == null || !life.ran || life.state == Life.State.HELD) {
      return;
    }
    if (start) {
      ended(id, Runner.End.UNREACHED, null, 0);
    } else if (life.state == Life.State.RUNNING) {
      stop(life); // it waits for what will not come
    }
  }

  /** The notice to leave, {@code leftUs} before the end. */
  public void drain(long leftUs) {
    if (draining) {
      return;
    }
    draining = true;
    graceEndUs = clock.getAsLong() + rules.graceUs();
    if (decisions.begun()) {
      report(new Report.Draining(leftUs));
    }
  }

  /** Fails whatever is still owed: the last thing before the end. */
  public void failAll(String why) {
    for (Life life : new ArrayList<>(lives.values())) {
      answer(life, failed(life.progress(), why, Answer.Cause.TIME));
    }
  }

  /** Runs what is due by the clock; returns when to call again. */
  public long tick() {
    long now = clock.getAsLong();
    if (!decisions.begun()) {
      return now + TICK_US;
    }
    if (now >= nextExpiry) {
      keys.expire(now);
      nextExpiry = now + EXPIRE_US;
    }
    long next = decisions.tick(now);
    obey();
    if (gauged != null) {
      gauged.askGauges();
    } else {
      reckon(now);
    }
    return Math.min(next, now + TICK_US);
  }

  /** Stands in for gauges where no runtime has any: all runs are elsewhere, each taken for one busy core. */
  private void reckon(long now) {
    long running = lives.values().stream().filter(life -> life.state == Life.State.RUNNING).count();
    double part = Math.min(1, (now - reckonedUs) / RECKON_US);
    busy += part * (Math.min(1, (double) running / rules.cores()) - busy);
    reckonedUs = now;
    report(new Report.Reckoned(busy, running));
  }

  // ---- orders

  private void report(Report report) {
    decisions.report(clock.getAsLong(), report);
    obey();
  }

  /** Carries out orders until there are none; those that come of it are carried out in their turn. */
  private void obey() {
    if (obeying) {
      return;
    }
    obeying = true;
    try {
      for (Order order = decisions.pick(); order != null; order = decisions.pick()) {
        obey(order);
      }
    } finally {
      obeying = false;
    }
  }

  private void obey(Order order) {
    if (order instanceof Order.Run o) {
      with(o.id(), this::run);
    } else if (order instanceof Order.Refuse o) {
      with(o.id(), life -> refuse(life, o.holdOffUs(), o.last()));
    } else if (order instanceof Order.Fail o) {
      with(o.id(), life -> finish(life, failed(life.progress(), "given up", Answer.Cause.TIME)));
    } else if (order instanceof Order.Halt o) {
      with(o.id(), this::stop);
    } else if (order instanceof Order.Call o) {
      with(o.id(), life -> call(life, o.untilUs()));
    } else if (order instanceof Order.SkipCall o) {
      with(o.id(), this::skip);
    } else if (order instanceof Order.Keep o) {
      with(o.id(), life -> keep(life, o.forUs()));
    } else if (order instanceof Order.Forget o) {
      with(o.id(), life -> keys.forget(life));
    } else if (order instanceof Order.Reuse o) {
      with(o.id(), this::reuse);
    } else if (order instanceof Order.Health o) {
      good = o.good();
    } else if (order instanceof Order.Say o) {
      credit = o.value();
    } else if (order instanceof Order.Idle o) {
      idleUs = o.us() > 0 ? o.us() : rules.idleUs();
    } else if (order instanceof Order.Note o) {
      log.info(o.line());
    }
  }

  private void with(long seq, java.util.function.Consumer<Life> what) {
    Life life = lives.get(seq);
    if (life != null) { // an order that comes too late is no harm
      what.accept(life);
    }
  }

  private void run(Life life) {
    if (life.state != Life.State.HELD || !life.owed()) {
      return;
    }
    if (keyed(life)) {
      KeyTable.Entry known = keys.find(life.ask);
      if (life.ran || known != null && keys.original(life.ask) != 0 && keys.original(life.ask) != life.seq) {
        log.warn("a run of a keyed request that may have run was not started");
        finish(life, failed(Progress.MAY_HAVE_RUN, "another try may have run", Answer.Cause.BACKEND));
        return;
      }
      keys.running(life, keyUntil(life)); // remembered before the runner hears of it
    }
    life.state = Life.State.RUNNING;
    life.ran = true;
    life.startedUs = clock.getAsLong();
    counters.add("starts");
    life.ask.runner().start(life.ask, life.dueUs);
  }

  private long keyUntil(Life life) {
    return life.ask.atUs() + rules.classes().get(life.ask.klass()).windowUs() + rules.slackUs() + SOCKET_SLACK_US;
  }

  /** Only a try that never ran is turned away; one that did has failed, whatever the module calls it. */
  private void refuse(Life life, long holdOffUs, boolean last) {
    finish(life, life.ran ? failed(Progress.MAY_HAVE_RUN, "given up", Answer.Cause.TIME) : new Answer.Refused(holdOffUs, last));
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
  private void release(Life life) {
    if (life.state == Life.State.CALLING) {
      ledger.giveUp(life.ask.id());
    }
    stop(life);
  }

  private void stop(Life life) {
    if (life.ran && !life.stopping && life.state != Life.State.HELD && life.state != Life.State.OVER) {
      life.stopping = true;
      counters.add("stops");
      life.ask.runner().stop(life.ask.id());
    }
  }

  private void call(Life life, long untilUs) {
    if (life.state != Life.State.AT_CALL || !life.owed()) {
      return;
    }
    life.state = Life.State.CALLING;
    life.calledUs = clock.getAsLong();
    counters.add("calls");
    ledger.call(life.ask.id(), untilUs, life.callBody);
  }

  private void skip(Life life) {
    if (life.state == Life.State.AT_CALL) {
      life.state = Life.State.RUNNING;
      counters.add("skips");
      life.ask.runner().omit(life.ask.id(), life.notice);
    }
  }

  private void keep(Life life, long forUs) {
    if (keyed(life)) {
      keys.keep(life, Math.max(clock.getAsLong() + forUs, keyUntil(life)));
    }
  }

  private void reuse(Life life) {
    KeyTable.Entry entry = keyed(life) ? keys.find(life.ask) : null;
    life.state = Life.State.ATTACHED;
    life.startedUs = clock.getAsLong();
    if (entry != null && !entry.ended()) {
      keys.wait(entry, life);
    } else {
      reused(life, entry == null ? null : entry.result());
    }
  }

  private boolean keyed(Life life) {
    return rules.classes().get(life.ask.klass()).keyed();
  }

  private static Answer.Failed failed(Progress progress, String why, Answer.Cause cause) {
    return new Answer.Failed(new Fault(progress, why), cause);
  }

  private void answer(Life life, Answer answer) {
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

  private void over(Life life) {
    life.state = Life.State.OVER;
    lives.remove(life.seq);
    byId.remove(life.ask.id(), life);
  }
}
