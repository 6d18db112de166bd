// The decisions of one server. Its interface (events in, actions out, settings) is
// PolicyEvents.java.
package rosecleat.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Decides for one server what it takes, runs and turns away. The ordinary path is Algorithm 1 of
 * Khojasteh and Mišić: a smoothed utilisation gate with random refusal, and a running limit led by
 * latency. Not thread-safe; everything it knows came in by its own events.
 */
public final class Policy implements PolicyEvents {
  // ---- constants: unit; reason; whose -----------------------------------------------------------
  private static final double ALPHA =
      0.1; // per event; weight of the newest offered load; open, ours
  private static final double BETA = 0.1; // per event; weight of the newest utilisation; open, ours
  private static final double U_THR = 0.75; // share of cores; the paper's threshold; DESIGN's
  private static final double BIND_WAIT =
      0.1; // of the wanted time; wait from which refusal binds; DESIGN's
  private static final double BIND_BUSY =
      0.9; // share of cores; busy enough for refusal to bind; DESIGN's
  private static final double RATE_US = 2e6; // us; memory of the arrival and completion rates; ours
  private static final long TICK_US = 20_000; // us; sweep of deadlines and gauges; ours
  private static final long STEP_US = 100_000; // us; pace of limit and signals; ours
  private static final long MARGIN_US = TICK_US; // us; answers by timer come so early at most; ours
  private static final double GROW = 1.0; // runs; one step up of the limit; ours
  private static final double SHRINK = 0.9; // factor; one step down of the limit; ours
  private static final double CROWDED =
      1.3; // run time over base from which the limit shrinks; ours
  private static final double CROWD_PART = 0.6; // of the crowd survived; the limit's ceiling; ours
  private static final double MEMORY_PART =
      0.92; // of the memory; what runs and keys may fill; ours
  private static final double HOLD_PART =
      0.85; // of the memory; arrivals are refused above it; ours
  private static final double CROWDING_US = 5e5; // us; memory of the crowd on the cores; ours
  private static final double SAMPLE = 128; // arrivals; memory of tenants and callers; ours
  private static final double MISSED = 12; // completions; so many overdue are a hang; ours
  private static final int KNOWN = 8; // runs; a class's run time is known after so many; ours
  private static final long HANG_US = 700_000; // us; the shortest stall that is a hang; ours
  private static final double SLOW = 1.7; // run time over base from which the weight falls; ours
  private static final double LEVEL_UP =
      0.25; // rank a second at refusal 1; rise of the level; ours
  private static final double LEVEL_DOWN = 0.05; // rank a second; decay of the level; ours
  private static final double LEVEL_TOP =
      0.98; // rank; the level goes no higher while work is done; ours
  private static final double BEHIND =
      0.4; // of the wanted time; requests read so late are a backlog; ours
  private static final double AWAY =
      0.3; // longest hold-offs per part of the cores that reads take; ours
  private static final double RUN_PART =
      1; // of the expected run; what has less time left is not begun; ours
  private static final double WORTH_US =
      6e6; // us; busy cores keep a connection so long for a new one; ours
  private static final long SHORT_US =
      50_000; // us; idle connections close so soon where few come back; ours
  private static final double SWAMPED =
      0.7; // of the cores; reading and connections that take more; ours
  private static final double IDLE_UP =
      1.5; // factor a step of the limit; rise of the idle span; ours
  private static final double IDLE_DOWN =
      0.98; // factor a step of the limit; fall of the idle span; ours
  private static final double ENOUGH =
      1.5; // quotas; who is served that much gains little by more; ours
  private static final double CREDIT = 64; // limits; what all callers together may have here; ours
  private static final double LAME =
      3.5; // run time over base; so slow a server has no credit to spare; ours
  private static final double SELDOM =
      0.08; // refusal chance up to which a first try may go on; ours
  private static final double QUICK =
      0.1; // of the expected run; so short a call is always made; ours
  private static final double PATIENCE =
      8; // usual lengths of a call after which it is given up; ours
  private static final double CALLS_SLOW =
      3; // usual lengths of a call; from there on fewer are out; ours
  private static final double CALLS_LEAST = 2; // calls; so many may be out in any case; ours
  private static final double CALLS_PART =
      0.4; // of this server's share; or so many, if that is fewer; ours
  private static final double CALLS_SHRINK = 0.7; // factor; one step down of the calls out; ours
  private static final double CALLS_DRIFT =
      1.05; // factor a step; rise of what is usual at the least; ours
  private static final int CALL_TRIES = 2; // calls; for one need, where repeating is allowed; ours
  private static final double ALIKE =
      0.999; // of a worth; from there on two are worth the same; ours
  private static final int RING = 64; // arrivals; those whose worth is compared; ours

  private enum State {
    HELD,
    RUNNING,
    ATTACHED,
    AT_CALL,
    CALLING,
    OVER
  }

  /** What became of a keyed effect, for all its tries. */
  private static final class Effects {
    boolean ran;
    Item leader;
  }

  private static final class Item {
    PolicyRequest q;
    PriorityClass k;
    long arrived;
    long due;
    long aim;
    State state = State.HELD;
    boolean owed = true;
    boolean ran;
    boolean halted;
    int calls;
    Call call; // the one that is out for it
    double kb; // of memory
    long started;
    long since; // when its state last changed
    long off; // us at calls
    Effects effects;
  }

  /** The time one call takes up below: to its end, or as far as it can last while it is out. */
  private static final class Call {
    long from;
    long until;
  }

  private record Kept(long until, long id, boolean inTable, double kb) {}

  private PolicySettings s;
  private final PolicyActions out;
  private final SplittableRandom random;
  private final Map<Long, Item> items = new HashMap<>();
  private final List<Item> held = new ArrayList<>(); // in order of coming
  private final List<Item> busy =
      new ArrayList<>(); // running, attached or at a call; in order of starting
  private final List<Item> callers =
      new ArrayList<>(); // at a call that is not made yet; in order of coming
  private final List<Call> callLog =
      new ArrayList<>(); // those that take up time in the span now ending
  private final Map<Long, Effects> table = new HashMap<>();
  private final PriorityQueue<Kept> kept =
      new PriorityQueue<>(Comparator.comparingLong(Kept::until).thenComparingLong(Kept::id));
  private long clock; // the time of the event in hand
  private long born;
  private long lastTick;
  private long lastStep;
  private long lastArrival;

  // estimates
  double coreUse;
  double uAv;
  double rhoAv;
  private double arrivals;
  private double completions;
  private long ratesAt;
  private double[] mean = {}; // us of run time by class (per us of hint where hints come)
  private int[] samples = {};
  private double[]
      told = {}; // us of run time by class, as taken in from elsewhere, and the runs it rests on
  private int[] toldRuns = {};
  private double stretch = 1;
  private double calm = 1;
  private double crowding =
      1; // what wants the cores over the cores, smoothed; 1 while all of it fits
  private double reading; // part of the cores that reading and connections want, smoothed
  private double[] tenantPart = {}; // of the recent arrivals
  private double[] served = {}; // recent runs that ended well, by tenant
  private double quotas; // requests a second inside all shares, over all servers
  private final double[] ring = new double[RING];
  private long ringCount;

  // limit and guards
  double limit;
  private int running;
  private double callTook; // us; smoothed, those given up too
  private double callUsual; // us; the same over many more calls
  private int callsEnded;
  private boolean turnedAway; // a call, since the last step
  private long
      callsFrom; // no call before: servers that start together and may call seldom must not meet
  private double callLimit =
      Double.MAX_VALUE; // calls out at a time; under 1 in the mean, by pauses
  private long callPause; // no call before
  private int away; // requests at a call: they are off the cores, and will come back
  private double memoryKb;
  private double missed;
  private long lastEnd;
  private boolean hung;

  // drain and signals
  private long drainAt = -1;
  private long stopAt = Long.MAX_VALUE;
  private double level;
  private double said = Double.NaN;
  private double refusal;
  private double
      over; // part of the arrivals that are too many, though no lower than the level; smoothed
  private double unread; // age when read over the wanted time, smoothed: the backlog not read yet
  private boolean healthy = true;
  private final Map<Long, Long> seen = new LinkedHashMap<>(); // when each caller last came
  private double idle = SHORT_US; // us; the span after which idle connections close
  private double idleSaid;
  private double reuse; // us; what keeping connections saves less what it costs, an arrival

  /** A server's policy with its settings, its seed and its host's actions. */
  public Policy(PolicySettings settings, long seed, PolicyActions actions) {
    out = actions;
    random = new SplittableRandom(seed);
    use(settings);
    limit = s.cores();
  }

  /**
   * PolicySettings to go by from now on; what was learnt of classes and tenants stays with their
   * numbers.
   */
  private void use(PolicySettings settings) {
    s = settings;
    mean = Arrays.copyOf(mean, s.classes().size());
    samples = Arrays.copyOf(samples, mean.length);
    told = Arrays.copyOf(told, mean.length);
    toldRuns = Arrays.copyOf(toldRuns, mean.length);
    int known = tenantPart.length;
    tenantPart = Arrays.copyOf(tenantPart, s.tenants().size());
    served = Arrays.copyOf(served, tenantPart.length);
    quotas = s.tenants().stream().mapToDouble(TenantQuota::quotaPerS).sum();
    for (int t = known; t < tenantPart.length; t++) {
      tenantPart[t] =
          quotas > 0 ? s.tenants().get(t).quotaPerS() / quotas : 0; // until it is known better
    }
  }

  // ---- events -----------------------------------------------------------------------------------

  @Override
  public void start(long now) {
    clock = born = lastTick = lastStep = lastEnd = ratesAt = now;
    callsFrom =
        callsSpan() > s.callWindowUs() ? now + (long) (random.nextDouble() * callsSpan()) : now;
    out.setHealth(true, true); // from store: checks that do real work would take it from requests
    out.startTimer(TICK_US, 0);
  }

  @Override
  public void reconfigured(long now, PolicySettings settings, List<Integer> renamed) {
    clock = now;
    use(settings);
    renamed.forEach(
        c -> mean[c] = samples[c] = toldRuns[c] = 0); // another class goes by the number now
  }

  @Override
  public void arrived(long now, PolicyRequest q) {
    clock = now;
    Item it = new Item();
    it.q = q;
    it.kb = q.queuedKb();
    it.k = s.classes().get(q.classIndex());
    it.arrived = now - q.ageUs();
    it.due =
        Math.max(now, q.timeoutUs() > 0 ? now + q.timeoutUs() : it.arrived + it.k.deadlineUs());
    it.aim =
        Math.min(
            it.due,
            it.arrived
                + it.k.latencyObjectiveUs()
                + (long)
                    (it.k.objectiveRunTimeFactor()
                        * (q.runTimeHintUs() > 0 ? q.runTimeHintUs() : mean[q.classIndex()])));
    it.due = Math.min(it.due, stopAt);
    items.put(q.id(), it);
    held.add(it);
    memoryKb += it.kb;
    rates(now);
    arrivals += 1;
    for (int t = 0; t < tenantPart.length; t++) {
      tenantPart[t] += ((t == q.tenantIndex() ? 1 : 0) - tenantPart[t]) / SAMPLE;
    }
    mechanism();
    lastArrival = now;
    countCaller(now, q.callerId());
    unread += 0.1 * (Math.min(1, (double) q.ageUs() / it.k.latencyObjectiveUs()) - unread);
    double worth = worthOf(it);
    ring[(int) (ringCount++ % RING)] = worth;
    admit(now, it, worth);
    dispatch(now);
  }

  @Override
  public void ended(long now, long id, Outcome outcome, long tookUs) {
    clock = now;
    Item it = items.get(id);
    if (it == null) {
      return;
    }
    if (outcome == Outcome.CANCELLED
        && it.owed) { // dropped or paused without an answer: it is held again
      leave(it);
      it.state = State.HELD;
      it.halted = false;
      held.add(it);
      it.kb = s.cancelMode() == CancelMode.PAUSE ? it.kb : it.q.queuedKb();
      memoryKb += it.kb;
      return;
    }
    boolean wasRun = it.state != State.ATTACHED;
    if (outcome == Outcome.OK
        ? wasRun
        : outcome == Outcome.CANCELLED && it.state == State.RUNNING) {
      learn(
          it,
          Math.max(1, tookUs - it.off),
          outcome == Outcome.OK ? 1 : 0); // time at calls is no slowness
    }
    if (wasRun && outcome == Outcome.OK || outcome == Outcome.FAILED) {
      rates(now);
      completions += 1;
      if (outcome == Outcome.OK && it.q.tenantIndex() < served.length) {
        served[it.q.tenantIndex()] += 1;
      }
      mechanism();
    }
    if (wasRun) {
      lastEnd = now;
      missed = 0;
      if (hung) {
        hung = false;
        out.log("work moves again");
      }
      if (outcome == Outcome.OK && shareable(it)) {
        keep(now, it, s.readSharingUs());
      }
    }
    over(it);
    dispatch(now);
  }

  @Override
  public void callNeeded(long now, long id) {
    clock = now;
    Item it = items.get(id);
    if (it == null || it.state != State.RUNNING) {
      return;
    }
    setState(it, State.AT_CALL);
    if (it.owed) {
      callers.add(it);
      calls(now);
    } else {
      out.fail(id); // answered or gone already: nothing below is worth asking for it
    }
    dispatch(now);
  }

  @Override
  public void callEnded(long now, long id, Outcome outcome, long tookUs) {
    clock = now;
    Item it = items.get(id);
    if (it != null && it.state == State.CALLING) {
      boolean neverRan = outcome == Outcome.REJECTED || outcome == Outcome.UNREACHABLE;
      callOver(it, outcome == Outcome.OK || outcome == Outcome.FAILED || neverRan);
      turnedAway |= outcome == Outcome.REJECTED;
      if (!neverRan) { // how soon a call was turned away says nothing of how long calls take
        callTook += (tookUs - callTook) * (callTook == 0 ? 1 : 0.1);
        callUsual += (callTook - callUsual) * Math.max(0.002, 1.0 / ++callsEnded);
      }
      if (outcome == Outcome.OK) {
        it.calls = 0;
        setState(it, State.RUNNING);
      } else {
        setState(it, State.AT_CALL);
        if ((neverRan || it.k.idempotency() == Idempotency.SAFE) && it.calls < CALL_TRIES) {
          callers.add(it);
        } else {
          withoutCall(it);
        }
      }
    }
    calls(now);
    dispatch(now);
  }

  @Override
  public void cancelled(long now, long id) {
    clock = now;
    Item it = items.get(id);
    if (it == null) {
      return;
    }
    it.owed = false;
    letGo(it);
    dispatch(now);
  }

  @Override
  public void timerFired(long now, long tag, ServerGauges g) {
    clock = now;
    out.startTimer(TICK_US, 0);
    double gap = now - lastTick;
    lastTick = now;
    if (g.coreUtilisation >= 0) {
      coreUse = g.coreUtilisation;
    }
    expireKeys(now);
    double wanting = Math.max(1, Math.max(running, g.runnable) / s.cores());
    crowding += Math.min(1, gap / CROWDING_US) * (wanting - crowding);
    double reads =
        g.runnable < 0 ? 0 : Math.max(0, g.runnable - running) / Math.max(s.cores(), g.runnable);
    reading += Math.min(1, gap / CROWDING_US) * (reads - reading);
    watch(now, gap, wanting);
    sweep(now);
    calls(now);
    if (now - lastStep >= STEP_US) {
      step(now, (now - lastStep) / 1e6);
      lastStep = now;
    }
    dispatch(now);
  }

  @Override
  public void draining(long now, long leftUs) {
    clock = now;
    drainAt = now;
    stopAt = now + leftUs;
    for (Item it : items.values()) {
      it.due = Math.min(it.due, stopAt);
    }
    out.log("draining, stopped in " + leftUs / 1000 + " ms");
    signal();
  }

  // ---- estimates --------------------------------------------------------------------------------

  private void rates(long now) {
    double fade = Math.exp(-(now - ratesAt) / RATE_US);
    arrivals *= fade;
    completions *= fade;
    for (int t = 0; t < served.length; t++) {
      served[t] *= fade;
    }
    ratesAt = now;
  }

  /** Algorithm 1's two averages, renewed at each arrival and departure. */
  private void mechanism() {
    double rho = completions > 0 ? coreUse * arrivals / Math.max(1, completions) : coreUse;
    rhoAv = ALPHA * rho + (1 - ALPHA) * rhoAv;
    uAv = BETA * coreUse + (1 - BETA) * uAv;
  }

  /**
   * Learns from a run that ended by itself (ended 1) or was halted (0). Of a halted run the time
   * counts, not the end, else a server that stops its long runs would know short ones only and take
   * too much.
   */
  private void learn(Item it, long workedUs, int ended) {
    int c = it.q.classIndex();
    double alone =
        workedUs / crowding; // what reading and other runs took of the cores is no slowness
    double unit = it.q.runTimeHintUs() > 0 ? alone / it.q.runTimeHintUs() : alone;
    if (samples[c] == 0) {
      mean[c] = unit;
    }
    double ratio = Math.min(4, unit / mean[c]);
    stretch += 0.1 * (ratio - ended * stretch);
    calm = Math.min(calm * 1.0005, stretch);
    samples[c] += ended;
    if (slowness() < 1.5) {
      mean[c] += (unit - ended * mean[c]) * Math.max(0.02, 1.0 / Math.max(1, samples[c]));
    }
  }

  private double slowness() {
    return calm > 0 ? stretch / calm : 1;
  }

  /** The run time to expect now; 0 while nothing of the class has ended here. */
  private double expected(Item it) {
    int c = it.q.classIndex();
    double base = samples[c] < toldRuns[c] ? told[c] : mean[c];
    return base * (it.q.runTimeHintUs() > 0 ? it.q.runTimeHintUs() : 1) * stretch * crowding;
  }

  /**
   * Whether kept connections are used again soon enough to be worth their part of the cores. Guards
   * against a table full of callers that hardly return. Harm: few frequent ones among many pay for
   * new connections.
   */
  private void countCaller(long now, long caller) {
    double worth =
        Math.min(s.maxIdleUs(), WORTH_US / Math.max(uAv, 0.01)); // cores that idle pay its tax
    Iterator<Long> times = seen.values().iterator(); // in order of coming; the older are as new
    while (times.hasNext() && now - times.next() >= worth) {
      times.remove();
    }
    Long before = seen.remove(caller);
    seen.put(caller, now);
    double gain = before == null ? -worth : worth - (now - before);
    reuse += (gain - reuse) / SAMPLE;
  }

  /**
   * What one more request of this tenant is worth: little once it is served its quota. Over it is
   * who sends more than its quota a server and more than its part of all quotas: further tries and
   * uneven load swell all rates alike, and a thin sample must not set those inside their shares
   * against each other. Harm: where demand drifts, a newcomer is over its share only after some
   * tens of arrivals.
   */
  private double shareWorth(int t) {
    if (t >= tenantPart.length || s.overQuotaWeight() >= 1 || s.servers() == 0 || quotas <= 0) {
      return 1;
    }
    double part = s.tenants().get(t).quotaPerS() / quotas;
    if (part <= 0) {
      return s.overQuotaWeight();
    }
    double rate = arrivals / (RATE_US / 1e6) * s.servers() / quotas;
    double over = tenantPart[t] / part * Math.min(1, rate);
    double chance = Math.sqrt((1 - part) / part / (2 * SAMPLE)); // so far a thin sample strays
    double had = served[t] / (RATE_US / 1e6) * s.servers() / s.tenants().get(t).quotaPerS();
    return over <= 1 + chance || had < ENOUGH ? 1 : s.overQuotaWeight();
  }

  /**
   * What an answer is worth here. A marked further try is as likely as not past its wanted time;
   * guards first tries against retries. Harm: where first tries fail at once elsewhere, their
   * retries are as good as new.
   */
  private double worthOf(Item it) {
    return it.k.priorityWeight()
        * shareWorth(it.q.tenantIndex())
        * (it.q.retry() ? (1 + it.k.lateWeight()) / 2 : 1);
  }

  // ---- what was learnt --------------------------------------------------------------------------

  /**
   * What was learnt here and holds beyond the moment; where little was, what was taken in is passed
   * on.
   */
  LearnedEstimates learnt() {
    double[] base = new double[mean.length];
    int[] runs = samples.clone();
    for (int c = 0; c < base.length; c++) {
      boolean known = samples[c] >= toldRuns[c];
      base[c] = known ? mean[c] * calm : told[c];
      runs[c] = known ? samples[c] : toldRuns[c];
    }
    return new LearnedEstimates(
        base, runs, callUsual, callsEnded, limit, callLimit, tenantPart, ringCount);
  }

  /**
   * Takes in what was learnt elsewhere; run times stand in until some are seen. Harm: wrong ones
   * mislead.
   */
  void take(LearnedEstimates l) {
    told = l.runTimesUs().clone();
    toldRuns = Arrays.stream(l.runCounts()).map(n -> Math.min(n, KNOWN)).toArray();
    callUsual = callTook = callsEnded == 0 && callTook == 0 ? l.callTimeUs() : callTook;
    limit = Math.max(limit, Math.min(l.concurrencyLimit(), CROWD_PART * crowd()));
    callLimit =
        l.callLimit() > 0 ? Math.min(callLimit, Math.max(CALLS_LEAST, l.callLimit())) : callLimit;
    double part = Math.min(1, l.arrivals() / SAMPLE);
    Arrays.setAll(tenantPart, t -> tenantPart[t] + part * (l.tenantShares()[t] - tenantPart[t]));
  }

  // ---- admission gate ---------------------------------------------------------------------------

  /**
   * F_cf for a request that competes with this part of the arrivals; 1 is every arrival, as in the
   * paper.
   */
  double fCf(double part) {
    return Math.max(0, Math.min(1, 1 - (rhoAv * part - U_THR)));
  }

  /**
   * Whether refusal binds: over the threshold, the cores busy, and the oldest held kept waiting.
   */
  private boolean bound(long now) {
    if (uAv <= U_THR || coreUse <= BIND_BUSY || held.isEmpty()) {
      return false;
    }
    Item oldest = held.get(0);
    return now - oldest.arrived > BIND_WAIT * (oldest.aim - oldest.arrived);
  }

  private void admit(long now, Item it, double worth) {
    boolean late = drainAt >= 0 && it.arrived > drainAt + s.graceUs();
    if (it.q.originalId() != 0 && repeat(now, it, late)) {
      return;
    }
    // an arrival read late must not bind its own refusal: with none held before it a run may start
    // at once,
    // unless dearer arrivals alone offer more than this server can do
    boolean bound = bound(now) && (held.size() > 1 || rhoAv * arriving(worth / ALIKE) > 1);
    double chance = bound ? 1 - fCf(arriving(worth * ALIKE)) : 0;
    refusal += 0.05 * (chance - refusal);
    over += 0.05 * ((it.q.rank() < level ? 0 : behind() ? 1 : chance) - over);
    boolean keyed = it.k.idempotency() == Idempotency.KEYED;
    if (late
        || hung
        || memoryKb > HOLD_PART * s.memoryKb()
        || hopeless(now, it)
        || keyed && memoryKb + s.keyKb() > MEMORY_PART * s.memoryKb()
        || chance > 0 && random.nextDouble() < chance && !tradedIn(worth)) {
      refuse(it);
    } else if (keyed) {
      if (it.effects == null) {
        it.effects = new Effects();
      }
      it.effects.leader = it;
      table.put(it.q.id(), it.effects);
      keep(now, it, Math.max(1, it.arrived + it.k.retryWindowUs() + s.slackUs() - now));
    }
  }

  /** Turns away the cheapest held request in place of a dearer one; false where none is cheaper. */
  private boolean tradedIn(double worth) {
    Item cheapest = null;
    double least = worth * ALIKE;
    for (Item it : held) {
      double other = worthOf(it);
      if (other < least && mayRefuse(it)) {
        cheapest = it;
        least = other;
      }
    }
    if (cheapest != null) {
      refuse(cheapest);
    }
    return cheapest != null;
  }

  /** The part of recent arrivals worth this much or more. */
  private double arriving(double worth) {
    int n = (int) Math.min(ringCount, RING);
    int found = 0;
    for (int i = 0; i < n; i++) {
      found += ring[i] >= worth ? 1 : 0;
    }
    return (double) found / n;
  }

  // ---- running limit ----------------------------------------------------------------------------

  private double crowd() {
    double share = 1;
    if (s.coldStart() && s.warmupUs() > 0) {
      share =
          Math.min(1, s.coldCapacity() + (1 - s.coldCapacity()) * (lastTick - born) / s.warmupUs());
    }
    return s.cores() * (1 + (s.overloadMultiple() - 1) * share);
  }

  private void adaptLimit() {
    if (coreUse < BIND_BUSY && !held.isEmpty() && running >= (int) limit) {
      limit +=
          GROW; // free cores come first: runs that wait for something else are long but no crowd
    } else if (slowness() * crowding > CROWDED) {
      limit *= SHRINK;
    }
    limit = Math.max(s.cores(), Math.min(limit, CROWD_PART * crowd()));
  }

  // ---- order of the hold ------------------------------------------------------------------------

  private void dispatch(long now) {
    // requests at a call come back to the cores, at worst all at once: one crowd bounds both
    while (running < (int) limit && running + away + 1 < crowd() && !hung) {
      Item best = null;
      boolean bound = bound(now);
      double bestWorth = -1;
      for (int i = 0; i < held.size(); i++) {
        Item it = held.get(i);
        if (spent(it)
            || memoryKb + s.runMemoryFactor() * it.q.queuedKb() - it.kb
                > MEMORY_PART * s.memoryKb()) {
          continue;
        }
        if (hopeless(now, it)) {
          refuse(it);
          i = -1;
          best = null;
          bestWorth = -1;
          continue;
        }
        boolean late = now + RUN_PART * expected(it) > it.aim;
        double worth = (bound ? worthOf(it) : 1) * (late ? it.k.lateWeight() : 1);
        if (worth > bestWorth) {
          best = it;
          bestWorth = worth;
        }
      }
      if (best == null) {
        return;
      }
      start(now, best);
    }
  }

  private void start(long now, Item it) {
    held.remove(it);
    busy.add(it);
    memoryKb += s.runMemoryFactor() * it.q.queuedKb() - it.kb;
    it.kb = s.runMemoryFactor() * it.q.queuedKb();
    it.ran = true;
    it.started = now;
    it.off = 0;
    if (it.effects != null) {
      it.effects.ran = true;
    }
    setState(it, State.RUNNING);
    if (shareable(it) && memoryKb + s.keyKb() <= HOLD_PART * s.memoryKb()) {
      keep(now, it, Math.max(1, it.due - now));
    }
    out.run(it.q.id());
  }

  // ---- keys and effects -------------------------------------------------------------------------

  /** A request that repeats one we kept: true when it is dealt with, false when it is new work. */
  private boolean repeat(long now, Item it, boolean late) {
    if (it.k.idempotency() == Idempotency.SAFE) {
      if (s.readSharingUs() <= 0 || late || hung) {
        return false;
      }
      attach(it);
      return true;
    }
    if (it.k.idempotency() != Idempotency.KEYED) {
      return false;
    }
    Effects known = table.get(it.q.originalId());
    if (known != null && !known.ran && (known.leader == null || known.leader.state != State.HELD)) {
      it.effects = known; // no try ever ran: this one is new work
      return false;
    }
    it.effects = known;
    if (late) {
      answer(it);
    } else {
      attach(it);
    }
    return true;
  }

  private void attach(Item it) {
    held.remove(it);
    busy.add(it);
    it.state = State.ATTACHED;
    out.replayResult(it.q.id());
  }

  private boolean shareable(Item it) {
    return it.k.idempotency() == Idempotency.SAFE && s.readSharingUs() > 0 && it.q.readKey() != 0;
  }

  private void keep(long now, Item it, long forUs) {
    out.rememberKey(it.q.id(), forUs);
    memoryKb += s.keyKb();
    kept.add(new Kept(now + forUs, it.q.id(), it.effects != null, s.keyKb()));
  }

  private void expireKeys(long now) {
    while (!kept.isEmpty() && kept.peek().until < now) {
      Kept old = kept.poll();
      memoryKb -= old.kb;
      if (old.inTable) {
        table.remove(old.id);
      }
    }
  }

  // ---- answers and deadlines --------------------------------------------------------------------

  /**
   * True where no answer worth anything can come of it any more. An idle server lets one through.
   */
  private boolean hopeless(long now, Item it) {
    if (running == 0 && now < it.aim) {
      return false;
    }
    long end = it.k.lateWeight() > 0 && !bound(now) ? it.due - MARGIN_US : it.aim;
    boolean hopeless = now + RUN_PART * expected(it) >= end;
    toldRuns[it.q.classIndex()] -=
        hopeless && now < end && toldRuns[it.q.classIndex()] > 0 ? 1 : 0; // it may be wrong
    return hopeless;
  }

  /** An effect that has run: held again after a drop, it must not run a second time. */
  private static boolean spent(Item it) {
    return it.ran && it.k.idempotency() != Idempotency.SAFE;
  }

  private boolean mayRefuse(Item it) {
    return it.k.idempotency() == Idempotency.SAFE
        || !it.ran && (it.effects == null ? it.state != State.ATTACHED : !it.effects.ran);
  }

  /** Ends what is owed: turned away where that is true, else failed. */
  private void answer(Item it) {
    if (!it.owed) {
      return;
    }
    if (mayRefuse(it)) {
      refuse(it);
      return;
    }
    it.owed = false;
    out.fail(it.q.id());
    letGo(it);
  }

  private void refuse(Item it) {
    if (it.effects != null && it.effects.leader == it) { // those that wait for it never ran either
      it.effects.leader = null;
      for (Item other : List.copyOf(busy)) {
        if (other.effects == it.effects && other.state == State.ATTACHED) {
          answer(other);
        }
      }
    }
    it.owed = false;
    boolean shut = shut();
    double stay =
        shut
            ? 1
            : behind()
                ? 0.5 + 0.5 * random.nextDouble()
                : Math.min(1, AWAY * reading) * random.nextDouble();
    out.reject(it.q.id(), (long) (stay * s.maxRetryAfterUs()), !shut && !mayGoOn(it));
    letGo(it);
  }

  /**
   * A first try may go on elsewhere once, where further tries are marked and this server refuses
   * seldom: then its trouble is likely its own. Harm: where all servers are that full, each such
   * try costs a read.
   */
  private boolean mayGoOn(Item it) {
    return s.marksRetries() && !it.q.retry() && refusal <= SELDOM && !behind();
  }

  /** Nothing is owed for it any more: drops what waits, stops what runs. */
  private void letGo(Item it) {
    if (it.state == State.HELD || it.state == State.ATTACHED) {
      over(it);
    } else if (it.state == State.RUNNING) {
      stopWork(it);
    }
  }

  /**
   * Frees the cores of work nobody waits for; a keyed run goes on, its result may answer a repeat.
   */
  private void stopWork(Item it) {
    if (s.cancelMode() != CancelMode.OFF && it.k.idempotency() != Idempotency.KEYED && !it.halted) {
      it.halted = true;
      out.cancel(it.q.id());
    }
  }

  private void sweep(long now) {
    for (int i = 0; i < held.size(); i++) {
      Item it = held.get(i);
      if (now >= it.due - MARGIN_US || spent(it) || hopeless(now, it)) {
        answer(it);
        i = -1;
      }
    }
    for (int i = 0; i < busy.size(); i++) {
      Item it = busy.get(i);
      boolean useless =
          it.state == State.RUNNING
              && it.k.idempotency() == Idempotency.SAFE
              && it.k.lateWeight() == 0
              && now > it.aim
              && s.cancelMode() != CancelMode.OFF
              && !held.isEmpty();
      if (it.owed && (now >= it.due - MARGIN_US || useless)) {
        int size = busy.size();
        answer(it);
        i -= size - busy.size();
      } else if (!it.owed && it.state == State.RUNNING) {
        stopWork(it);
      }
    }
  }

  // ---- calls below ------------------------------------------------------------------------------

  /**
   * Makes the calls that fit into this server's share, dearest first; what must wait long goes
   * without. Guards against a dependency that is slow, crowded or dead. Harm: where its room is far
   * over all shares.
   */
  private void calls(long now) {
    Item best;
    callLog.removeIf(c -> c.until <= now - callsSpan());
    while (now >= callPause && (best = dearestCaller()) != null && callsOut() < callLimit) {
      double room = callsRoom(now);
      long until = callUntil(now, best, room);
      if (best.k.weightWithoutCall() > 0 && now + callTook >= until || until - now > room) {
        break;
      }
      callers.remove(best);
      makeCall(now, best, until);
    }
    for (Item it : List.copyOf(callers)) {
      if (it.k.weightWithoutCall() > 0 && now + callTook >= inTime(it)) {
        callers.remove(it);
        withoutCall(it);
      }
    }
  }

  private int callsOut() {
    return away - callers.size();
  }

  /**
   * The calls out at a time follow their length. Guards a dependency that does less the more it
   * holds: all servers' calls jam it, and where servers are many one from each is a jam. Harm:
   * where it is slow for another cause, calls wait that it could have taken.
   */
  private void adaptCalls() {
    double part =
        s.downstreamMode() == DownstreamMode.SHARED
            ? Math.min(1, CALLS_PART * s.concurrentCalls() / CALLS_LEAST)
            : 1;
    double least =
        CALLS_LEAST * part; // the smaller its part, the less the length of calls is its doing
    if (turnedAway || callTook > CALLS_SLOW * callUsual) {
      callLimit = Math.max(least, CALLS_SHRINK * Math.min(callLimit, callsOut()));
      callUsual *= callLimit > least ? 1 : Math.pow(CALLS_DRIFT, part); // not slow by so few
    } else if (callsOut() >= callLimit || clock < callPause) {
      callLimit += GROW * part;
    }
    turnedAway = false;
  }

  private Item dearestCaller() {
    callers.removeIf(it -> it.state != State.AT_CALL);
    Item best = null;
    for (Item it : List.copyOf(callers)) {
      if (!it.owed) {
        callers.remove(it);
        withoutCall(it);
      } else if (best == null || callWorth(it) * ALIKE > callWorth(best)) {
        best = it;
      }
    }
    return best;
  }

  private void makeCall(long now, Item it, long until) {
    it.call = new Call();
    it.call.from = now;
    it.call.until = until + s.callLingerUs();
    callLog.add(it.call);
    it.calls++;
    setState(it, State.CALLING);
    out.call(it.q.id(), until);
  }

  /** What the answer loses without the call. */
  private double callWorth(Item it) {
    return worthOf(it) * (1 - it.k.weightWithoutCall());
  }

  /**
   * Until when its call may take, so that an answer without it is in time, where that is worth
   * anything.
   */
  private double inTime(Item it) {
    if (it.k.weightWithoutCall() <= 0) {
      return it.due - MARGIN_US;
    }
    double whole = expected(it);
    double worked = it.since - it.started - it.off;
    return Math.min(it.due - MARGIN_US, it.aim) - Math.max(whole - worked, 0);
  }

  /**
   * A call much shorter than the run is made in any case; none is awaited many times its usual
   * length, but for one that all depends on. None books more than half of the room there is, unless
   * that is a few usual lengths only, nor more than half of the whole share: one that booked more
   * than there is could never be made, kept all behind it back, and a slow moment left no room for
   * as long as the span. Harm: where many servers share and calls take long, those that would end
   * after that are given up.
   */
  private long callUntil(long now, Item it, double room) {
    double end = Math.max(inTime(it), now + QUICK * expected(it));
    if (it.k.weightWithoutCall() > 0 && callTook > 0) {
      end = Math.min(end, now + PATIENCE * callTook);
    }
    if (s.downstreamMode() == DownstreamMode.SHARED) {
      double share = s.concurrentCalls() * callsSpan();
      double longest = (share >= 4 * s.callLingerUs() ? share / 2 : share) - s.callLingerUs();
      end = Math.min(end, now + Math.min(longest, Math.max(CALLS_SLOW * callUsual, room / 2)));
    }
    return (long) Math.max(now + 1, end);
  }

  /**
   * How long one more call may take (us) within this server's share of what the dependency
   * survives: that bounds the time at calls in the span that ends now, with all that may still
   * follow, so any later one too.
   */
  private double callsRoom(long now) {
    return s.downstreamMode() != DownstreamMode.SHARED
        ? Double.MAX_VALUE
        : now < callsFrom
            ? 0
            : s.concurrentCalls() * callsSpan() - callsTaken(now, callsSpan()) - s.callLingerUs();
  }

  /**
   * The span over which calls are counted: the settings', or a longer one where not even a short
   * call and its lingering fit into the share of that. Guards servers so many that none could call.
   * Harm: calls may meet.
   */
  private double callsSpan() {
    double span = s.concurrentCalls() <= 0 ? 0 : 2.0 * s.callLingerUs() / s.concurrentCalls();
    return Math.max(s.callWindowUs(), span);
  }

  /** The time at calls in a span that ends at a time, where no further call is made. */
  double callsTaken(long at, double span) {
    double taken = 0;
    for (Call c : callLog) {
      taken += Math.max(0, c.until - Math.max(c.from, at - span));
    }
    return taken;
  }

  /** What is taken here of the server's memory and of its crowd. */
  double[] taken() {
    return new double[] {memoryKb, running + away};
  }

  /** A call is over: at once where it came to an end, else it may linger below. */
  private void callOver(Item it, boolean ended) {
    if (it.call != null) {
      it.call.until = Math.min(it.call.until, clock + (ended ? 0 : s.callLingerUs()));
      double took = Math.min(clock - it.call.from, PATIENCE * callUsual);
      callPause = clock + (callLimit >= 1 ? 0 : (long) (took * (1 / callLimit - 1)));
      it.call = null;
    }
  }

  private void withoutCall(Item it) {
    if (it.k.weightWithoutCall() > 0 && it.owed) {
      setState(it, State.RUNNING);
      out.skipCall(it.q.id());
    } else if (it.owed) {
      answer(it);
    } else {
      out.fail(it.q.id());
    }
  }

  // ---- memory, crowd and hang guards ------------------------------------------------------------

  private void setState(Item it, State state) {
    running += (state == State.RUNNING ? 1 : 0) - (it.state == State.RUNNING ? 1 : 0);
    away += (atCall(state) ? 1 : 0) - (atCall(it.state) ? 1 : 0);
    it.off += atCall(it.state) ? clock - it.since : 0;
    it.since = clock;
    it.state = state;
    if (state != State.CALLING) {
      callOver(it, false); // its request ended first
    }
  }

  private static boolean atCall(State state) {
    return state == State.AT_CALL || state == State.CALLING;
  }

  private void leave(Item it) {
    (it.state == State.HELD ? held : busy).remove(it);
    memoryKb -= it.state == State.OVER ? 0 : it.kb;
    setState(it, State.OVER);
  }

  private void over(Item it) {
    leave(it);
    items.remove(it.q.id());
  }

  /** A long stall with work on the cores is a hang, whatever its cause: give back what is held. */
  private void watch(long now, double gap, double wanting) {
    if (gap > 5 * TICK_US) {
      missed = 0; // the process itself stood still
      lastEnd = now;
      return;
    }
    double each = 0;
    for (Item it : busy) {
      if (it.state == State.RUNNING) {
        // before enough runs of its class have ended, little is known: its wanted time stands in
        double run =
            samples[it.q.classIndex()] < KNOWN
                ? it.k.latencyObjectiveUs() * crowding
                : expected(it);
        run *= Math.max(1, wanting / crowding);
        each += gap / Math.max(TICK_US, run);
      }
    }
    missed = running == 0 ? 0 : missed + each;
    boolean many = running >= s.cores() && missed > MISSED;
    if (!hung && many && now - lastEnd > HANG_US) {
      hung = true;
      out.log(
          "work stands still with "
              + running
              + " on the cores, "
              + Math.round(100 * coreUse)
              + "% busy");
      for (Item it : List.copyOf(held)) {
        answer(it);
      }
      signal();
    }
  }

  // ---- signals to callers -----------------------------------------------------------------------

  private void step(long now, double seconds) {
    adaptLimit();
    adaptCalls();
    if (now - lastArrival > STEP_US) {
      unread *= 0.9; // callers that keep away leave nothing to measure: let the signal go
      over *= 0.9;
    }
    level = Math.max(0, Math.min(LEVEL_TOP, level + seconds * (LEVEL_UP * over - LEVEL_DOWN)));
    idle(reuse > 0 || behind() || reading > SWAMPED);
    signal();
  }

  /**
   * Moves the span after which idle connections close; said when it has moved by a quarter. It
   * rises also while reading and new connections swamp the cores: a full table turns callers away
   * at no cost, also while the span falls slowly. Guards against storms of new connections, of any
   * cause. Harm: the full table is blind to worth and taxes the cores, and outlasts the storm by
   * some seconds.
   */
  private void idle(boolean keep) {
    double moved = idle * (keep ? IDLE_UP : IDLE_DOWN);
    idle = Math.min(s.maxIdleUs(), Math.max(SHORT_US, moved));
    if (Math.abs(idle - idleSaid) > 0.25 * idleSaid || idle >= s.maxIdleUs() && idle > idleSaid) {
      idleSaid = idle;
      out.setIdleTimeout((long) idle);
    }
  }

  private boolean behind() {
    return unread > BEHIND;
  }

  private boolean shut() {
    return hung || drainAt >= 0;
  }

  // credit is for many limits: callers with none left refuse blindly, the hold picks by worth;
  // harm: more
  // reads, so a server far slower than it was has none to spare
  private void signal() {
    boolean shut = shut();
    if (healthy == shut) {
      healthy = !shut;
      out.setHealth(healthy, true);
    }
    double value =
        switch (s.loadAdviceMode()) {
          case OFF -> Double.NaN;
          case LEVEL -> shut ? 1 : level;
          case CREDIT ->
              shut
                  ? 0
                  : (1 - refusal)
                      * Math.max(
                          refusal > SELDOM ? 0 : 1,
                          (slowness() > LAME ? 1 : CREDIT) * limit / Math.max(1, s.callers()));
          case WEIGHT -> shut ? 0 : slowness() > SLOW ? 1 / slowness() : 1;
        };
    if (s.loadAdviceMode() != LoadAdviceMode.OFF && !(Math.abs(value - said) < 0.01)) {
      said = value;
      out.setLoadAdvice(value);
    }
  }
}
