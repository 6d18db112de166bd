package rosecleat.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Adjusts the time after which idle connections close. The timeout is long if callers return soon
 * enough for the saved connection setups to outweigh the cost of idle connections.
 */
final class IdleConnectionTimeout {
  /** Idle time that one avoided connection setup is worth when all cores are busy. */
  private static final double CONNECTION_SETUP_BENEFIT_US = 6e6;

  /** Minimum timeout. */
  private static final long MIN_TIMEOUT_US = 50_000;

  /** Factor by which one step increases the timeout. */
  private static final double INCREASE = 1.5;

  /** Factor by which one step decreases the timeout. */
  private static final double DECREASE = 0.98;

  /** Relative change from which a new timeout is reported to the host. */
  private static final double MIN_REPORTED_CHANGE = 0.25;

  /** Number of arrivals over which the net benefit is averaged. */
  private static final double SAMPLE_ARRIVALS = 128;

  /** Lower bound of the utilisation that the benefit is computed with (share of the cores). */
  private static final double MIN_UTILISATION = 0.01;

  /** Most callers whose last arrival is remembered; beyond it the oldest is forgotten. */
  static final int MAX_CALLERS = 4_096;

  private final PolicyContext context;

  /** Last arrival time of each caller (us), oldest first. */
  private final Map<Long, Long> lastArrivals = new LinkedHashMap<>();

  private double timeoutUs = MIN_TIMEOUT_US;
  private double reportedUs;

  /** Smoothed benefit of keeping connections open less its cost (us per arrival). */
  private double netBenefitUs;

  IdleConnectionTimeout(PolicyContext context) {
    this.context = context;
  }

  /**
   * Records an arrival of a caller. Prevents rarely active clients from filling the connection
   * table. Trade-off: if few clients of many are active, these reconnect more often.
   */
  void countArrival(long callerId, double averageUtilisation) {
    long now = context.nowUs();
    double benefitUs =
        Math.min(
            (double) context.settings().maxIdleUs(),
            CONNECTION_SETUP_BENEFIT_US / Math.max(averageUtilisation, MIN_UTILISATION));
    Iterator<Long> times = lastArrivals.values().iterator(); // oldest first
    while (times.hasNext()
        && (now - times.next() >= benefitUs || lastArrivals.size() >= MAX_CALLERS)) {
      times.remove();
    }
    Long before = lastArrivals.remove(callerId);
    lastArrivals.put(callerId, now);
    double gainUs = before == null ? -benefitUs : benefitUs - (now - before);
    netBenefitUs += (gainUs - netBenefitUs) / SAMPLE_ARRIVALS;
  }

  /** Returns the number of callers whose last arrival is remembered. */
  int rememberedCallers() {
    return lastArrivals.size();
  }

  /** Returns whether connections are reused soon enough to be kept open. */
  boolean isKeepAliveBeneficial() {
    return netBenefitUs > 0;
  }

  /**
   * Adjusts the timeout by one step and reports it to the host when it has changed by a quarter.
   *
   * <p>The timeout also rises while reads and new connections overload the cores: a full connection
   * table then turns callers away at no cost, and still does so while the timeout falls slowly.
   * This protects against connection storms of any cause. Trade-off: a full table turns callers
   * away regardless of their weight, its connections cost core time, and it stays full for some
   * seconds after the storm.
   *
   * @param keepConnections whether the timeout rises in this step; otherwise it falls
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
