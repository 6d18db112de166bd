package rosecleat.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import rosecleat.policy.PolicyApi.Gauges;
import rosecleat.policy.PolicyApi.Outcome;
import rosecleat.policy.PolicyApi.Request;
import rosecleat.policy.PolicyApi.Settings;

/**
 * The module as its hosts see it: {@link #report} what happened, {@link #pick} the next order, and
 * {@link #tick} for the timers. Orders are values and come in the order the module gave them;
 * nothing calls back. Not thread-safe.
 */
public final class Decisions {
  /** What has happened. */
  public sealed interface Report {
    /** A request was read and is held. */
    record Arrived(
        long id,
        int klass,
        int tenant,
        long key,
        long leftUs,
        double heldKb,
        double rank,
        boolean retry,
        boolean write,
        long caller,
        long ageUs,
        long original)
        implements Report {}

    /** A run or a reuse is over. */
    record Ended(long id, RunOutcome outcome, long tookUs) implements Report {}

    /** A run stands still at a call. */
    record NeedsCall(long id) implements Report {}

    /** A call below is over. */
    record Called(long id, CallOutcome outcome, long tookUs) implements Report {}

    /** The caller has gone. */
    record Gone(long id) implements Report {}

    /** Notice to leave. */
    record Draining(long leftUs) implements Report {}

    /** The gauges as last read, in the order of the settings. */
    record GaugesRead(double[] values) implements Report {}

    /** How busy the cores are as the host reckons it, where nobody reads gauges. */
    record Reckoned(double coreUse, double onCores) implements Report {}
  }

  /** How a run ended. */
  public enum RunOutcome {
    OK,
    FAILED,
    HALTED,
    MOOT
  }

  /** How a call ended. */
  public enum CallOutcome {
    OK,
    FAILED,
    SHED,
    TIMEOUT,
    UNREACHED,
    CUT
  }

  /** What is to be done. */
  public sealed interface Order {
    /** Run a held request. */
    record Run(long id) implements Order {}

    /** Turn it away. */
    record Refuse(long id, long holdOffUs, boolean last) implements Order {}

    /** Fail it. */
    record Fail(long id) implements Order {}

    /** Stop its run. */
    record Halt(long id) implements Order {}

    /** Make its call, until a time. */
    record Call(long id, long untilUs) implements Order {}

    /** Go on without its call. */
    record SkipCall(long id) implements Order {}

    /** Remember its key from now on. */
    record Keep(long id, long forUs) implements Order {}

    /** Forget its key. */
    record Forget(long id) implements Order {}

    /** Answer it from another try's result. */
    record Reuse(long id) implements Order {}

    /** What health checks hear. */
    record Health(boolean good) implements Order {}

    /** The value that goes with answers. */
    record Say(double value) implements Order {}

    /** How long unused connections stay; 0 is the longest. */
    record Idle(long us) implements Order {}

    /** A line for the log. */
    record Note(String line) implements Order {}
  }

  private static final long SECOND_US = 1_000_000;

  /** Spans of calls are seconds long. */
  private static final int MOST_SECONDS = 60;

  /** What a lesson says: its unit, and what its samples are. */
  public enum Topic {
    /** The run time of a class alone on the cores (us); runs. */
    RUN_TIME,
    /** The usual length of a call below (us); calls. */
    CALL_TIME,
    /** The usual running limit while half of it or more was in use (runs); seconds of such use. */
    LIMIT,
    /** The limit on calls out (calls); seconds. */
    CALL_LIMIT,
    /** A tenant's part of the arrivals (share); arrivals. */
    TENANT_PART
  }

  /** Something learnt, {@code of} a class or tenant by name; empty where it is of the server. */
  public record Lesson(Topic topic, String of, double value, double samples) {}

  /** The names that numbers of classes and tenants go by; null where a number has none. */
  public record Names(List<String> classes, List<String> tenants) {}

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

  private Settings settings;
  private List<String> gaugeNames;
  private final long seed;
  private final ArrayDeque<Order> orders = new ArrayDeque<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::nr));
  private final Gauges gauges = new Gauges();
  private Policy policy;
  private boolean startedCold;
  private double
      usualLimit; // while in use, smoothed: the limit itself falls as soon as nothing needs it
  private double usedSeconds; // that it rests on
  private long sampledUs;
  private double takenArrivals;
  private Names lessonNames;
  private Supplier<List<Lesson>> lessons;
  private long now;
  private long nr;

  /** Decisions under these settings; the gauges are named in the order they will come. */
  public Decisions(Settings settings, List<String> gaugeNames, long seed) {
    this.settings = settings;
    this.gaugeNames = List.copyOf(gaugeNames);
    this.seed = seed;
  }

  /**
   * Starts the module as of a moment that may have passed: when the cores it rules came up, cold or
   * warm.
   */
  public void begin(long sinceUs, boolean cold) {
    now = sinceUs;
    startedCold = cold;
    policy = new Policy(settings.withCold(cold), seed, new Collector());
    policy.begin(sinceUs);
    usualLimit = policy.limit;
    if (lessons != null) {
      teach(lessonNames, lessons);
    }
  }

  /** What the module has learnt and another may use, by names; nothing before {@link #begin}. */
  public List<Lesson> learnt(Names names) {
    List<Lesson> all = new ArrayList<>();
    if (policy == null) {
      return all;
    }
    PolicyApi.Learnt l = policy.learnt();
    for (int c = 0; c < Math.min(l.runs().length, names.classes.size()); c++) {
      if (names.classes.get(c) != null && l.runs()[c] > 0) {
        all.add(new Lesson(Topic.RUN_TIME, names.classes.get(c), l.runUs()[c], l.runs()[c]));
      }
    }
    if (l.calls() > 0) {
      all.add(new Lesson(Topic.CALL_TIME, "", l.callUs(), l.calls()));
    }
    if (usedSeconds > 0) {
      all.add(new Lesson(Topic.LIMIT, "", usualLimit, usedSeconds));
    }
    if (l.callLimit() < NO_LIMIT && l.calls() > 0) {
      all.add(new Lesson(Topic.CALL_LIMIT, "", l.callLimit(), usedSeconds));
    }
    for (int t = 0; t < Math.min(l.parts().length, names.tenants.size()); t++) {
      if (names.tenants.get(t) != null && takenArrivals + l.arrivals() > 0) {
        all.add(
            new Lesson(
                Topic.TENANT_PART,
                names.tenants.get(t),
                l.parts()[t],
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
  public void teach(Names names, Supplier<List<Lesson>> source) {
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
    double[] parts = policy.learnt().parts().clone();
    double callUs = 0;
    int calls = 0;
    double limit = 0;
    double callLimit = 0;
    double arrivals = 0;
    for (Lesson lesson : source.get()) {
      int samples = (int) Math.round(lesson.samples);
      switch (lesson.topic) {
        case RUN_TIME -> {
          int c = names.classes.indexOf(lesson.of);
          if (c >= 0 && c < classes) {
            runUs[c] = lesson.value;
            runs[c] = samples;
          }
        }
        case CALL_TIME -> {
          callUs = lesson.value;
          calls = samples;
        }
        case LIMIT -> {
          limit =
              settings.cores()
                  + (lesson.value - settings.cores()) * Math.min(1, lesson.samples / TRUSTED_S);
          usedSeconds = lesson.samples;
        }
        case CALL_LIMIT -> callLimit = lesson.samples >= TRUSTED_S ? lesson.value : 0;
        case TENANT_PART -> {
          int t = names.tenants.indexOf(lesson.of);
          if (t >= 0 && t < tenants) {
            parts[t] = lesson.value;
            arrivals = Math.max(arrivals, lesson.samples);
          }
        }
      }
    }
    takenArrivals = arrivals;
    policy.take(
        new PolicyApi.Learnt(runUs, runs, callUs, calls, limit, callLimit, parts, arrivals));
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
  public void retune(long nowUs, Settings fresh, List<String> gauges, List<Integer> renamed) {
    now = Math.max(now, nowUs);
    settings = fresh;
    gaugeNames = List.copyOf(gauges);
    if (policy != null) {
      policy.retuned(now, fresh.withCold(startedCold), renamed);
    }
  }

  /** Whether {@link #begin} has been called. */
  public boolean begun() {
    return policy != null;
  }

  /** Tells the module what happened at a time. */
  public void report(long nowUs, Report report) {
    now = Math.max(now, nowUs);
    if (report instanceof Report.Arrived a) {
      policy.arrived(
          now,
          new Request(
              a.id,
              a.klass,
              a.tenant,
              a.key,
              a.leftUs,
              0,
              a.heldKb,
              a.rank,
              a.retry,
              a.write,
              a.caller,
              a.ageUs,
              a.original));
    } else if (report instanceof Report.Ended e) {
      policy.ended(now, e.id, outcome(e.outcome), e.tookUs);
    } else if (report instanceof Report.NeedsCall n) {
      policy.needsCall(now, n.id);
    } else if (report instanceof Report.Called c) {
      policy.called(now, c.id, outcome(c.outcome), c.tookUs);
    } else if (report instanceof Report.Gone g) {
      policy.gone(now, g.id);
    } else if (report instanceof Report.Draining d) {
      policy.drain(now, d.leftUs);
    } else if (report instanceof Report.GaugesRead r) {
      read(r.values);
    } else if (report instanceof Report.Reckoned r) {
      gauges.coreUse = r.coreUse;
      gauges.onCores = r.onCores;
    }
  }

  /**
   * What a module takes of its server's limits: calls below in the mean of their span, now and
   * after each further second if it makes no more of them; KB of memory; requests run.
   */
  public record Taken(List<Double> calls, double memoryKb, double running) {}

  /** What is taken now. */
  public Taken taken(long nowUs) {
    List<Double> calls = new ArrayList<>();
    double spanUs = Math.max(1, settings.callsSpanUs());
    for (int second = 0; second <= Math.min(MOST_SECONDS, spanUs / SECOND_US); second++) {
      calls.add(
          policy == null
              ? 0
              : policy.callsTaken(Math.max(now, nowUs) + second * SECOND_US, spanUs) / spanUs);
    }
    double[] rest = policy == null ? new double[2] : policy.taken();
    return new Taken(calls, rest[0], rest[1]);
  }

  /** The next order, null where there is none. */
  public Order pick() {
    return orders.poll();
  }

  /** Runs the timers that are due and returns when the next one is. */
  public long tick(long nowUs) {
    now = Math.max(now, nowUs);
    sampleLimit();
    while (!timers.isEmpty() && timers.peek().atUs <= now) {
      policy.woken(now, timers.poll().tag, gauges);
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atUs;
  }

  private void read(double[] values) {
    for (int i = 0; i < Math.min(values.length, gaugeNames.size()); i++) {
      switch (gaugeNames.get(i)) {
        case "core_use" -> gauges.coreUse = values[i];
        case "on_cores" -> gauges.onCores = values[i];
        case "heap_share" -> gauges.memory = values[i];
        case "links" -> gauges.connections = values[i];
        default -> {} // a gauge the module has no use for
      }
    }
  }

  private static Outcome outcome(RunOutcome outcome) {
    return switch (outcome) {
      case OK -> Outcome.OK;
      case FAILED -> Outcome.ERROR;
      case HALTED -> Outcome.HALTED;
      case MOOT -> Outcome.MOOT;
    };
  }

  private static Outcome outcome(CallOutcome outcome) {
    return switch (outcome) {
      case OK -> Outcome.OK;
      case FAILED -> Outcome.ERROR;
      case SHED -> Outcome.FULL;
      case TIMEOUT -> Outcome.TIMEOUT;
      case UNREACHED -> Outcome.UNREACHED;
      case CUT -> Outcome.RESET;
    };
  }

  /** Turns the module's actions into orders. */
  private final class Collector implements PolicyApi.Actions {
    @Override
    public void run(long id) {
      orders.add(new Order.Run(id));
    }

    @Override
    public void refuse(long id, long holdOffUs, boolean last) {
      orders.add(new Order.Refuse(id, holdOffUs, last));
    }

    @Override
    public void fail(long id) {
      orders.add(new Order.Fail(id));
    }

    @Override
    public void halt(long id) {
      orders.add(new Order.Halt(id));
    }

    @Override
    public void call(long id, long untilUs) {
      orders.add(new Order.Call(id, untilUs));
    }

    @Override
    public void skipCall(long id) {
      orders.add(new Order.SkipCall(id));
    }

    @Override
    public void keep(long id, long forUs) {
      orders.add(new Order.Keep(id, forUs));
    }

    @Override
    public void forget(long id) {
      orders.add(new Order.Forget(id));
    }

    @Override
    public void reuse(long id) {
      orders.add(new Order.Reuse(id));
    }

    @Override
    public void health(boolean good, boolean fromStore) {
      orders.add(new Order.Health(good));
    }

    @Override
    public void say(double value) {
      orders.add(new Order.Say(value));
    }

    @Override
    public void idle(long us) {
      orders.add(new Order.Idle(us));
    }

    @Override
    public void wake(long inUs, long tag) {
      timers.add(new Timer(now + inUs, nr++, tag));
    }

    @Override
    public void log(String line) {
      orders.add(new Order.Note(line));
    }
  }
}
