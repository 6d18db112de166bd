package rosecleat.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The policy as its hosts use it: {@link #handle} takes an event, {@link #nextCommand} gives the
 * next command, and {@link #tick} fires the timers. Commands are values and come in the order in
 * which the policy gave them; nothing calls back. Not thread-safe.
 */
public final class PolicyEngine {
  private static final long US_PER_S = 1_000_000;

  /** Windows of downstream calls are seconds long (s). */
  private static final int MAX_WINDOW_S = 60;

  private record PendingRestore(ClassAndTenantNames names, Supplier<List<Estimate>> source) {}

  private PolicySettings settings;
  private List<String> gaugeNames;
  private final long seed;
  private final TimerQueue timers = new TimerQueue();
  private final CommandCollector commands =
      new CommandCollector() {
        @Override
        public void startTimer(long inUs, long tag) {
          timers.add(nowUs + inUs, tag);
        }
      };
  private final ServerGauges gauges = new ServerGauges();
  private Policy policy;
  private EstimateExchange estimates;
  private PendingRestore pendingRestore;
  private boolean coldStart;
  private long nowUs;

  /** An engine that is not started; the gauges are named in the order in which they will come. */
  public PolicyEngine(PolicySettings settings, List<String> gaugeNames, long seed) {
    this.settings = settings;
    this.gaugeNames = List.copyOf(gaugeNames);
    this.seed = seed;
  }

  /**
   * Starts the policy as of a moment that may have passed: when its server's cores came up.
   *
   * @param cold whether they came up cold, and warm up
   */
  public void start(long sinceUs, boolean cold) {
    nowUs = sinceUs;
    coldStart = cold;
    policy = new Policy(settings.withColdStart(cold), seed, commands);
    policy.start(sinceUs);
    estimates = new EstimateExchange(policy);
    if (pendingRestore != null) {
      estimates.restore(settings, pendingRestore.names, pendingRestore.source.get());
      pendingRestore = null;
    }
  }

  /** Whether {@link #start} has been called. */
  public boolean started() {
    return policy != null;
  }

  /** What the policy has learned and another may use, by names; nothing before the start. */
  public List<Estimate> estimates(ClassAndTenantNames names) {
    return policy == null ? new ArrayList<>() : estimates.estimates(names);
  }

  /**
   * Has the policy take in what was learned elsewhere, now or as soon as it starts; the source is
   * asked then. What is seen here overtakes it; limits count in part where they rest on few
   * seconds, and never over the policy's ceilings. What names nothing here is left out.
   */
  public void restore(ClassAndTenantNames names, Supplier<List<Estimate>> source) {
    if (policy == null) {
      pendingRestore = new PendingRestore(names, source);
    } else {
      pendingRestore = null;
      estimates.restore(settings, names, source.get());
    }
  }

  /**
   * Goes by other settings from now on. A class or tenant keeps its index.
   *
   * @param reassignedClasses the indexes that stand for another class than before
   */
  public void reconfigure(
      long eventUs,
      PolicySettings newSettings,
      List<String> newGaugeNames,
      List<Integer> reassignedClasses) {
    advance(eventUs);
    settings = newSettings;
    gaugeNames = List.copyOf(newGaugeNames);
    if (policy != null) {
      policy.reconfigured(nowUs, newSettings.withColdStart(coldStart), reassignedClasses);
    }
  }

  /** Tells the policy what happened at a time; only after {@link #start}. */
  public void handle(long eventUs, PolicyEvent event) {
    advance(eventUs);
    if (event instanceof PolicyEvent.Arrived arrived) {
      policy.arrived(nowUs, request(arrived));
    } else if (event instanceof PolicyEvent.Ended ended) {
      policy.ended(nowUs, ended.id(), ended.outcome().outcome(), ended.tookUs());
    } else if (event instanceof PolicyEvent.CallNeeded callNeeded) {
      policy.callNeeded(nowUs, callNeeded.id());
    } else if (event instanceof PolicyEvent.CallEnded callEnded) {
      policy.callEnded(nowUs, callEnded.id(), callEnded.outcome().outcome(), callEnded.tookUs());
    } else if (event instanceof PolicyEvent.Cancelled cancelled) {
      policy.cancelled(nowUs, cancelled.id());
    } else if (event instanceof PolicyEvent.Draining draining) {
      policy.draining(nowUs, draining.remainingUs());
    } else if (event instanceof PolicyEvent.GaugesRead read) {
      readGauges(read.values());
    } else if (event instanceof PolicyEvent.LoadMeasured measured) {
      gauges.coreUtilisation = measured.coreUtilisation();
      gauges.runnable = measured.runnable();
    }
  }

  private static PolicyRequest request(PolicyEvent.Arrived arrived) {
    return new PolicyRequest(
        arrived.id(),
        arrived.classIndex(),
        arrived.tenantIndex(),
        arrived.readKey(),
        arrived.timeoutUs(),
        0,
        arrived.queuedKb(),
        arrived.rank(),
        arrived.retry(),
        arrived.write(),
        arrived.callerId(),
        arrived.ageUs(),
        arrived.originalId());
  }

  private void readGauges(double[] values) {
    for (int i = 0; i < Math.min(values.length, gaugeNames.size()); i++) {
      gauges.set(gaugeNames.get(i), values[i]);
    }
  }

  /** What the policy uses of its server's limits now; nothing before the start. */
  public LimitUsage usage(long atUs) {
    if (policy == null) {
      return new LimitUsage(meanCalls(atUs), 0, 0);
    }
    return new LimitUsage(meanCalls(atUs), policy.memoryKb(), policy.concurrentRequests());
  }

  private List<Double> meanCalls(long atUs) {
    List<Double> meanCalls = new ArrayList<>();
    double windowUs = Math.max(1, settings.callWindowUs());
    for (int second = 0; second <= Math.min(MAX_WINDOW_S, windowUs / US_PER_S); second++) {
      long endUs = Math.max(nowUs, atUs) + second * US_PER_S;
      meanCalls.add(policy == null ? 0 : policy.timeAtCallsUs(endUs, windowUs) / windowUs);
    }
    return meanCalls;
  }

  /** The next command, null where there is none. */
  public PolicyCommand nextCommand() {
    return commands.poll();
  }

  /** Fires the timers that are due and returns when the next one is (us). */
  public long tick(long atUs) {
    advance(atUs);
    if (policy != null) {
      estimates.sample(nowUs);
    }
    while (timers.isDue(nowUs)) {
      policy.timerFired(nowUs, timers.removeNext(), gauges);
    }
    return timers.nextUs();
  }

  private void advance(long eventUs) {
    nowUs = Math.max(nowUs, eventUs);
  }
}
