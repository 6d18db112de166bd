package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A host for tests: passes events on, records actions, keeps the books and asserts the four rules
 * at each action.
 */
final class Host implements PolicyActions {
  enum At {
    HELD,
    RUNNING,
    ATTACHED,
    NEEDS,
    CALLING,
    OVER
  }

  static final class Entry {
    PolicyRequest q;
    long arrived;
    long due;
    At at = At.HELD;
    boolean owed = true;
    boolean ran;
    String answer = "";
    long answeredAt;
    boolean halting;
    boolean repeatable = true;
    boolean paused;
    long callUntil;
    Out out;
  }

  /** The time a call is in the dependency's hands. */
  static final class Out {
    long from;
    long until = Long.MAX_VALUE;
  }

  final PolicySettings settings;
  final Policy policy;
  final Map<Long, Entry> entries = new LinkedHashMap<>();
  final Map<Long, Long> keptUntil = new HashMap<>();
  final List<String> actions = new ArrayList<>();
  final List<String> logs = new ArrayList<>();
  final ServerGauges gauges = new ServerGauges();
  long now;
  long nextId = 1;
  long wakeAt;
  long noticeAt = -1;
  double said = -1;
  boolean good = true;
  long caller = 1;
  boolean retry;
  double rank = 0.5;
  long idle = -1;
  long lastHoldOff;
  boolean lastWish;
  int calling;
  final List<Out> outs = new ArrayList<>();

  Host(PolicySettings settings, long seed) {
    this.settings = settings;
    policy = new Policy(settings, seed, this);
    policy.start(now);
    gauges.coreUtilisation = 0;
    gauges.runnable = 0;
  }

  // ---- driving

  Entry arrive(int klass) {
    return arrive(klass, 0, 0, 0, 0);
  }

  Entry arrive(int klass, int tenant, long age, long left, long original) {
    Entry e = new Entry();
    e.q =
        new PolicyRequest(
            nextId++,
            klass,
            tenant,
            original == 0 ? 0 : 7,
            left,
            0,
            10,
            rank,
            retry,
            false,
            caller,
            age,
            original);
    e.arrived = now - age;
    e.due =
        Math.max(
            now, left > 0 ? now + left : e.arrived + settings.classes().get(klass).deadlineUs());
    entries.put(e.q.id(), e);
    policy.arrived(now, e.q);
    check();
    return e;
  }

  void end(Entry e, Outcome outcome, long took) {
    boolean dropped = outcome == Outcome.CANCELLED && e.owed;
    e.at = dropped ? At.HELD : At.OVER;
    e.paused = dropped && settings.cancelMode() == CancelMode.PAUSE;
    leaves(e, settings.callLingerUs());
    if ((outcome == Outcome.OK || outcome == Outcome.FAILED) && e.owed) {
      e.owed = false;
      e.answer = outcome.name();
      e.answeredAt = now;
    }
    policy.ended(now, e.q.id(), outcome, took);
    check();
  }

  void need(Entry e) {
    e.at = At.NEEDS;
    policy.callNeeded(now, e.q.id());
    check();
  }

  void called(Entry e, Outcome outcome) {
    long took = e.out == null ? 0 : now - e.out.from;
    leaves(e, outcome == Outcome.TIMEOUT || outcome == Outcome.RESET ? settings.callLingerUs() : 0);
    e.at = outcome == Outcome.OK ? At.RUNNING : At.NEEDS;
    e.repeatable =
        outcome == Outcome.REJECTED || outcome == Outcome.UNREACHABLE || outcome == Outcome.OK;
    policy.callEnded(now, e.q.id(), outcome, took);
    check();
  }

  private void leaves(Entry e, long lingers) {
    if (e.out != null) {
      calling--;
      e.out.until = Math.min(now, e.callUntil) + lingers;
      e.out = null;
    }
  }

  /** The largest mean of calls out over the settings' span, at any time until now. */
  double mostCallsOut() {
    double most = 0;
    for (Out last : outs) {
      for (long end :
          new long[] {
            Math.min(now, last.until), Math.min(now, last.from + settings.callWindowUs())
          }) {
        double sum = 0;
        for (Out o : outs) {
          sum +=
              Math.max(0, Math.min(end, o.until) - Math.max(o.from, end - settings.callWindowUs()));
        }
        most = Math.max(most, sum / settings.callWindowUs());
      }
    }
    return most;
  }

  void gone(Entry e) {
    e.owed = false;
    if (e.at == At.HELD || e.at == At.ATTACHED) {
      e.at = At.OVER;
    }
    policy.cancelled(now, e.q.id());
    check();
  }

  void drain(long left) {
    noticeAt = now;
    for (Entry e : entries.values()) {
      e.due = Math.min(e.due, now + left - settings.slackUs());
    }
    policy.draining(now, left);
    check();
  }

  /** Lets time pass, with timers, but with nothing ending. */
  void pass(long us) {
    long until = now + us;
    while (wakeAt <= until) {
      now = Math.max(now, wakeAt);
      policy.timerFired(now, 0, gauges);
      check();
    }
    now = until;
  }

  List<Entry> running() {
    return entries.values().stream().filter(e -> e.at == At.RUNNING).toList();
  }

  double memory() {
    double kb = 0;
    for (Entry e : entries.values()) {
      if (e.at != At.OVER) {
        boolean small = e.at == At.HELD && !e.paused || e.at == At.ATTACHED;
        kb += e.q.queuedKb() * (small ? 1 : settings.runMemoryFactor());
      }
    }
    for (long until : keptUntil.values()) {
      kb += until > now ? settings.keyKb() : 0;
    }
    return kb;
  }

  private void check() {
    assertTrue(memory() <= settings.memoryKb(), "memory " + memory());
    long onCores = entries.values().stream().filter(e -> e.at == At.RUNNING).count();
    assertTrue(
        onCores
            <= settings.cores() * (1 + (settings.overloadMultiple() - 1) * settings.coldCapacity()),
        "crowd");
    for (Entry e : entries.values()) {
      assertFalse(e.owed && now > e.due + settings.slackUs(), "lost " + e.q.id());
    }
  }

  private Entry of(long id) {
    Entry e = entries.get(id);
    assertNotNull(e, "unknown request " + id);
    return e;
  }

  private Idempotency effect(Entry e) {
    return settings.classes().get(e.q.classIndex()).idempotency();
  }

  // ---- actions, with the rules asserted

  @Override
  public void run(long id) {
    actions.add("run " + id);
    Entry e = of(id);
    assertTrue(e.at == At.HELD, "run of what is not held");
    assertFalse(e.ran && effect(e) != Idempotency.SAFE, "effect run twice");
    assertFalse(noticeAt >= 0 && e.arrived > noticeAt + settings.graceUs(), "run after the grace");
    if (effect(e) == Idempotency.KEYED) {
      assertTrue(
          keptUntil.getOrDefault(id, 0L)
              >= e.arrived + settings.classes().get(e.q.classIndex()).retryWindowUs(),
          "keyed run without its entry");
      for (long o = e.q.originalId(); o != 0; o = entries.get(o).q.originalId()) {
        assertFalse(entries.get(o).ran, "keyed effect run again");
      }
    }
    e.at = At.RUNNING;
    e.ran = true;
  }

  @Override
  public void reject(long id, long holdOffUs, boolean last) {
    actions.add("refuse " + id);
    Entry e = of(id);
    if (effect(e) != Idempotency.SAFE) {
      assertFalse(e.ran, "effect refused after it ran");
      for (long o = e.q.originalId(); o != 0; o = entries.get(o).q.originalId()) {
        assertFalse(entries.get(o).ran, "repeat refused after the effect ran");
      }
    }
    lastHoldOff = holdOffUs;
    lastWish = last;
    answer(e, "refuse");
  }

  @Override
  public void fail(long id) {
    actions.add("fail " + id);
    answer(of(id), "fail");
  }

  private void answer(Entry e, String how) {
    if (e.owed) {
      e.owed = false;
      e.answer = how;
      e.answeredAt = now;
    }
    if (e.at == At.HELD || e.at == At.ATTACHED) {
      e.at = At.OVER;
    }
  }

  @Override
  public void cancel(long id) {
    actions.add("halt " + id);
    assertTrue(settings.cancelMode() != CancelMode.OFF, "halt where there is none");
    of(id).halting = true;
  }

  @Override
  public void call(long id, long untilUs) {
    actions.add("call " + id);
    Entry e = of(id);
    assertTrue(e.at == At.NEEDS);
    assertTrue(effect(e) == Idempotency.SAFE || e.repeatable, "call repeated that may have run");
    e.at = At.CALLING;
    e.callUntil = untilUs;
    assertTrue(untilUs >= now, "call given up before it is made");
    e.out = new Out();
    e.out.from = now;
    e.out.until = untilUs + settings.callLingerUs(); // it is given up then, whoever hears of it
    outs.add(e.out);
    calling++;
  }

  @Override
  public void skipCall(long id) {
    actions.add("skip " + id);
    assertTrue(
        settings.classes().get(of(id).q.classIndex()).weightWithoutCall() > 0,
        "skip that is a fault");
    of(id).at = At.RUNNING;
  }

  @Override
  public void rememberKey(long id, long forUs) {
    actions.add("keep " + id);
    keptUntil.put(id, now + forUs);
  }

  @Override
  public void forgetKey(long id) {
    assertFalse(of(id).ran, "forgotten what has run");
    keptUntil.remove(id);
  }

  @Override
  public void replayResult(long id) {
    actions.add("reuse " + id);
    assertTrue(of(id).q.originalId() != 0, "reuse of nothing");
    of(id).at = At.ATTACHED;
  }

  @Override
  public void setHealth(boolean isGood, boolean fromStore) {
    good = isGood;
  }

  @Override
  public void setLoadAdvice(double value) {
    said = value;
  }

  @Override
  public void setIdleTimeout(long us) {
    idle = us;
  }

  @Override
  public void startTimer(long inUs, long tag) {
    wakeAt = now + inUs;
  }

  @Override
  public void log(String line) {
    logs.add(line);
  }
}
