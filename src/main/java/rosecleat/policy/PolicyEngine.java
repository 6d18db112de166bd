package rosecleat.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The interface between a host and its policy: {@link #handle} accepts an event, {@link
 * #nextCommand} returns the next command, and {@link #tick} fires the timers. Commands are plain
 * values in the order in which the policy issued them; the engine calls nothing back. Not
 * thread-safe.
 */
public final class PolicyEngine {
  private static final long US_PER_S = 1_000_000;

  /** Upper bound of the forecast of call usage (s); windows of calls are only seconds long. */
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

  /**
   * Creates an engine that is not started.
   *
   * @param gaugeNames the names of the gauges, in the order of {@link PolicyEvent.GaugesRead}
   */
  public PolicyEngine(PolicySettings settings, List<String> gaugeNames, long seed) {
    this.settings = settings;
    this.gaugeNames = List.copyOf(gaugeNames);
    this.seed = seed;
  }

  /**
   * Starts the policy.
   *
   * @param sinceUs when the server's cores became available, which may be in the past
   * @param cold whether the server started cold at that time and is warming up
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

  /** Returns whether {@link #start} has been called. */
  public boolean started() {
    return policy != null;
  }

  /** Returns the learned estimates by name, for use by other processes; empty before the start. */
  public List<Estimate> estimates(ClassAndTenantNames names) {
    return policy == null ? new ArrayList<>() : estimates.estimates(names);
  }

  /**
   * Applies estimates that another process learned, now or as soon as the policy starts; the source
   * is read at that time. Observations of this process gradually replace them. Limits that are
   * based on only a few seconds of use count in part or not at all, and no limit exceeds the
   * ceilings of the policy. Estimates for unknown names are ignored.
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
   * Applies new settings. Classes and tenants retain their indexes.
   *
   * @param reassignedClasses the indexes that now refer to another class than before
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

  /** Passes an event at a time to the policy. Must not be called before {@link #start}. */
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

  /** Returns the current usage of the server's limits; zero before the start. */
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

  /** Removes and returns the next command, or null if there is none. */
  public PolicyCommand nextCommand() {
    return commands.poll();
  }

  /** Fires the timers that are due and returns when the next one is due (us). */
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
