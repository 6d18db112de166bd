package rosecleat.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The time after which idle connections close: long where callers return soon enough for their kept
 * connections to be worth their part of the cores.
 */
final class IdleConnectionTimeout {
  /** Busy cores keep a connection so long for a new one (us); chosen here. */
  private static final double CONNECTION_SETUP_BENEFIT_US = 6e6;

  /** The shortest timeout (us); chosen here. */
  private static final long MIN_TIMEOUT_US = 50_000;

  /** Rise of the timeout a step (factor); chosen here. */
  private static final double INCREASE = 1.5;

  /** Fall of the timeout a step (factor); chosen here. */
  private static final double DECREASE = 0.98;

  /** The host is told when the timeout has moved by this part; chosen here. */
  private static final double MIN_REPORTED_CHANGE = 0.25;

  /** Memory of the saving (arrivals); chosen here. */
  private static final double SAMPLE_ARRIVALS = 128;

  /** Least utilisation that a connection's cost is reckoned with (share of the cores). */
  private static final double MIN_UTILISATION = 0.01;

  private final PolicyContext context;

  /** When each caller last came (us), in order of that. */
  private final Map<Long, Long> lastArrivals = new LinkedHashMap<>();

  private double timeoutUs = MIN_TIMEOUT_US;
  private double reportedUs;

  /** What keeping connections saves less what it costs (us an arrival). */
  private double netBenefitUs;

  IdleConnectionTimeout(PolicyContext context) {
    this.context = context;
  }

  /**
   * Counts an arrival of a caller. Guards against a table full of connections whose callers hardly
   * return. Harm: few frequent callers among many pay for new connections.
   */
  void countArrival(long callerId, double averageUtilisation) {
    long now = context.nowUs();
    double benefitUs =
        Math.min(
            (double) context.settings().maxIdleUs(),
            CONNECTION_SETUP_BENEFIT_US / Math.max(averageUtilisation, MIN_UTILISATION));
    Iterator<Long> times = lastArrivals.values().iterator(); // the oldest come first
    while (times.hasNext() && now - times.next() >= benefitUs) {
      times.remove();
    }
    Long before = lastArrivals.remove(callerId);
    lastArrivals.put(callerId, now);
    double gainUs = before == null ? -benefitUs : benefitUs - (now - before);
    netBenefitUs += (gainUs - netBenefitUs) / SAMPLE_ARRIVALS;
  }

  /** Whether kept connections are used again soon enough. */
  boolean isKeepAliveBeneficial() {
    return netBenefitUs > 0;
  }

  /**
   * Moves the timeout by one step and tells the host when it has moved by a quarter. It rises also
   * while reading and new connections swamp the cores: a full connection table turns callers away
   * at no cost, also while the timeout falls slowly. Guards against storms of new connections, of
   * any cause. Harm: the full table is blind to weights and taxes the cores, and outlasts the storm
   * by some seconds.
   */
  void adjust(boolean keepConnections) {
    double maxUs = context.settings().maxIdleUs();
    double moved = timeoutUs * (keepConnections ? INCREASE : DECREASE);
    timeoutUs = Math.min(maxUs, Math.max(MIN_TIMEOUT_US, moved));
    if (Math.abs(timeoutUs - reportedUs) > MIN_REPORTED_CHANGE * reportedUs
        || (timeoutUs >= maxUs && timeoutUs > reportedUs)) {
      reportedUs = timeoutUs;
      context.actions.setIdleTimeout((long) timeoutUs);
    }
  }
}
