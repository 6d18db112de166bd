package rosecleat.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Supplier;

/**
 * The module as its hosts see it: {@link #handle} what happened, {@link #nextCommand} the next
 * order, and {@link #tick} for the timers. Orders are values and come in the order the module gave
 * them; nothing calls back. Not thread-safe.
 */
public final class PolicyEngine {
  private static final long SECOND_US = 1_000_000;

  /** Spans of calls are seconds long. */
  private static final int MOST_SECONDS = 60;

  /** A limit that rests on so many seconds is taken in whole. */
  private static final double TRUSTED_S = 10;

  /**
   * The usual limit is a mean over some seconds of use: looked at so often, each look counts so
   * much.
   */
  private static final long LIMIT_EVERY_US = 100_000;

  private static final double LIMIT_PART = 0.03;

  /** Limits on calls from here on are none. */
  private static final double NO_LIMIT = 1e5;

  private record Timer(long atUs, long nr, long tag) {}

  private PolicySettings settings;
  private List<String> gaugeNames;
  private final long seed;
  private final ArrayDeque<PolicyCommand> orders = new ArrayDeque<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::nr));
  private final ServerGauges gauges = new ServerGauges();
  private Policy policy;
  private boolean startedCold;
  private double
      usualLimit; // while in use, smoothed: the limit itself falls as soon as nothing needs it
  private double usedSeconds; // that it rests on
  private long sampledUs;
  private double takenArrivals;
  private ClassAndTenantNames lessonNames;
  private Supplier<List<Estimate>> lessons;
  private long now;
  private long nr;

  /** PolicyEngine under these settings; the gauges are named in the order they will come. */
  public PolicyEngine(PolicySettings settings, List<String> gaugeNames, long seed) {
    this.settings = settings;
    this.gaugeNames = List.copyOf(gaugeNames);
    this.seed = seed;
  }

  /**
   * Starts the module as of a moment that may have passed: when the cores it rules came up, cold or
   * warm.
   */
  public void start(long sinceUs, boolean cold) {
    now = sinceUs;
    startedCold = cold;
    policy = new Policy(settings.withColdStart(cold), seed, new Collector());
    policy.start(sinceUs);
    usualLimit = policy.limit;
    if (lessons != null) {
      restore(lessonNames, lessons);
    }
  }

  /** What the module has learnt and another may use, by names; nothing before {@link #start}. */
  public List<Estimate> estimates(ClassAndTenantNames names) {
    List<Estimate> all = new ArrayList<>();
    if (policy == null) {
      return all;
    }
    LearnedEstimates l = policy.learnt();
    for (int c = 0; c < Math.min(l.runCounts().length, names.classes().size()); c++) {
      if (names.classes().get(c) != null && l.runCounts()[c] > 0) {
        all.add(
            new Estimate(
                EstimateKind.RUN_TIME,
                names.classes().get(c),
                l.runTimesUs()[c],
                l.runCounts()[c]));
      }
    }
    if (l.callCount() > 0) {
      all.add(new Estimate(EstimateKind.CALL_TIME, "", l.callTimeUs(), l.callCount()));
    }
    if (usedSeconds > 0) {
      all.add(new Estimate(EstimateKind.LIMIT, "", usualLimit, usedSeconds));
    }
    if (l.callLimit() < NO_LIMIT && l.callCount() > 0) {
      all.add(new Estimate(EstimateKind.CALL_LIMIT, "", l.callLimit(), usedSeconds));
    }
    for (int t = 0; t < Math.min(l.tenantShares().length, names.tenants().size()); t++) {
      if (names.tenants().get(t) != null && takenArrivals + l.arrivals() > 0) {
        all.add(
            new Estimate(
                EstimateKind.TENANT_PART,
                names.tenants().get(t),
                l.tenantShares()[t],
                takenArrivals + l.arrivals()));
      }
    }
    return all;
  }

  /**
   * Has the module take in what was learnt elsewhere, now or as soon as it begins; the lessons are
   * asked for then, and as of then. What is seen here overtakes them; limits count in part where
   * they rest on few seconds, and never over the module's ceilings. What names nothing here is left
   * out.
   */
  public void restore(ClassAndTenantNames names, Supplier<List<Estimate>> source) {
    if (policy == null) {
      lessonNames = names;
      lessons = source;
      return;
    }
    lessons = null;
    int classes = settings.classes().size();
    int tenants = settings.tenants().size();
    double[] runUs = new double[classes];
    int[] runs = new int[classes];
    double[] parts = policy.learnt().tenantShares().clone();
    double callUs = 0;
    int calls = 0;
    double limit = 0;
    double callLimit = 0;
    double arrivals = 0;
    for (Estimate lesson : source.get()) {
      int samples = (int) Math.round(lesson.samples());
      switch (lesson.kind()) {
        case RUN_TIME -> {
          int c = names.classes().indexOf(lesson.subject());
          if (c >= 0 && c < classes) {
            runUs[c] = lesson.value();
            runs[c] = samples;
          }
        }
        case CALL_TIME -> {
          callUs = lesson.value();
          calls = samples;
        }
        case LIMIT -> {
          limit =
              settings.cores()
                  + (lesson.value() - settings.cores()) * Math.min(1, lesson.samples() / TRUSTED_S);
          usedSeconds = lesson.samples();
        }
        case CALL_LIMIT -> callLimit = lesson.samples() >= TRUSTED_S ? lesson.value() : 0;
        case TENANT_PART -> {
          int t = names.tenants().indexOf(lesson.subject());
          if (t >= 0 && t < tenants) {
            parts[t] = lesson.value();
            arrivals = Math.max(arrivals, lesson.samples());
          }
        }
      }
    }
    takenArrivals = arrivals;
    policy.take(
        new LearnedEstimates(runUs, runs, callUs, calls, limit, callLimit, parts, arrivals));
    usualLimit = policy.limit;
  }

  private void sampleLimit() {
    if (policy != null && now - sampledUs >= LIMIT_EVERY_US) {
      sampledUs = now;
      if (policy.taken()[1] >= policy.limit / 2) {
        usualLimit += LIMIT_PART * (policy.limit - usualLimit);
        usedSeconds += LIMIT_EVERY_US / (double) SECOND_US;
      }
    }
  }

  /**
   * New settings, in force from now on. A class or tenant keeps its number; the classes {@code
   * renamed} are others than those that went by these numbers before.
   */
  public void reconfigure(
      long nowUs, PolicySettings fresh, List<String> gauges, List<Integer> renamed) {
    now = Math.max(now, nowUs);
    settings = fresh;
    gaugeNames = List.copyOf(gauges);
    if (policy != null) {
      policy.reconfigured(now, fresh.withColdStart(startedCold), renamed);
    }
  }

  /** Whether {@link #start} has been called. */
  public boolean started() {
    return policy != null;
  }

  /** Tells the module what happened at a time. */
  public void handle(long nowUs, PolicyEvent report) {
    now = Math.max(now, nowUs);
    if (report instanceof PolicyEvent.Arrived a) {
      policy.arrived(
          now,
          new PolicyRequest(
              a.id(),
              a.classIndex(),
              a.tenantIndex(),
              a.readKey(),
              a.timeoutUs(),
              0,
              a.queuedKb(),
              a.rank(),
              a.retry(),
              a.write(),
              a.callerId(),
              a.ageUs(),
              a.originalId()));
    } else if (report instanceof PolicyEvent.Ended e) {
      policy.ended(now, e.id(), e.outcome().outcome(), e.tookUs());
    } else if (report instanceof PolicyEvent.NeedsCall n) {
      policy.callNeeded(now, n.id());
    } else if (report instanceof PolicyEvent.Called c) {
      policy.callEnded(now, c.id(), c.outcome().outcome(), c.tookUs());
    } else if (report instanceof PolicyEvent.Cancelled g) {
      policy.cancelled(now, g.id());
    } else if (report instanceof PolicyEvent.Draining d) {
      policy.draining(now, d.remainingUs());
    } else if (report instanceof PolicyEvent.GaugesRead r) {
      read(r.values());
    } else if (report instanceof PolicyEvent.LoadMeasured r) {
      gauges.coreUtilisation = r.coreUtilisation();
      gauges.runnable = r.runnable();
    }
  }

  /** What is taken now. */
  public LimitUsage usage(long nowUs) {
    List<Double> calls = new ArrayList<>();
    double spanUs = Math.max(1, settings.callWindowUs());
    for (int second = 0; second <= Math.min(MOST_SECONDS, spanUs / SECOND_US); second++) {
      calls.add(
          policy == null
              ? 0
              : policy.callsTaken(Math.max(now, nowUs) + second * SECOND_US, spanUs) / spanUs);
    }
    double[] rest = policy == null ? new double[2] : policy.taken();
    return new LimitUsage(calls, rest[0], rest[1]);
  }

  /** The next order, null where there is none. */
  public PolicyCommand nextCommand() {
    return orders.poll();
  }

  /** Runs the timers that are due and returns when the next one is. */
  public long tick(long nowUs) {
    now = Math.max(now, nowUs);
    sampleLimit();
    while (!timers.isEmpty() && timers.peek().atUs <= now) {
      policy.timerFired(now, timers.poll().tag, gauges);
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atUs;
  }

  private void read(double[] values) {
    for (int i = 0; i < Math.min(values.length, gaugeNames.size()); i++) {
      switch (gaugeNames.get(i)) {
        case "core_use" -> gauges.coreUtilisation = values[i];
        case "on_cores" -> gauges.runnable = values[i];
        case "heap_share" -> gauges.memoryShare = values[i];
        case "links" -> gauges.connections = values[i];
        default -> {} // a gauge the module has no use for
      }
    }
  }

  /** Turns the module's actions into orders. */
  private final class Collector implements PolicyActions {
    @Override
    public void run(long id) {
      orders.add(new PolicyCommand.Run(id));
    }

    @Override
    public void reject(long id, long holdOffUs, boolean last) {
      orders.add(new PolicyCommand.Reject(id, holdOffUs, last));
    }

    @Override
    public void fail(long id) {
      orders.add(new PolicyCommand.Fail(id));
    }

    @Override
    public void cancel(long id) {
      orders.add(new PolicyCommand.Cancel(id));
    }

    @Override
    public void call(long id, long untilUs) {
      orders.add(new PolicyCommand.Call(id, untilUs));
    }

    @Override
    public void skipCall(long id) {
      orders.add(new PolicyCommand.SkipCall(id));
    }

    @Override
    public void rememberKey(long id, long forUs) {
      orders.add(new PolicyCommand.RememberKey(id, forUs));
    }

    @Override
    public void forgetKey(long id) {
      orders.add(new PolicyCommand.ForgetKey(id));
    }

    @Override
    public void replayResult(long id) {
      orders.add(new PolicyCommand.ReplayResult(id));
    }

    @Override
    public void setHealth(boolean good, boolean fromStore) {
      orders.add(new PolicyCommand.SetHealth(good));
    }

    @Override
    public void setLoadAdvice(double value) {
      orders.add(new PolicyCommand.SetLoadAdvice(value));
    }

    @Override
    public void setIdleTimeout(long us) {
      orders.add(new PolicyCommand.SetIdleTimeout(us));
    }

    @Override
    public void startTimer(long inUs, long tag) {
      timers.add(new Timer(now + inUs, nr++, tag));
    }

    @Override
    public void log(String line) {
      orders.add(new PolicyCommand.LogLine(line));
    }
  }
}
