package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the quota of calls and the limit on concurrent calls. The quota is one call on average over
 * 5 s, and an abandoned call occupies the dependency for another 200 ms.
 */
class DownstreamCallLimiterTest {
  private static final long WINDOW_US = 5_000_000;
  private static final long LINGER_US = 200_000;

  private final PolicyContext context =
      new PolicyContext(TestSettings.sharedDownstream(1, TestSettings.SAFE), 1, null);
  private final DownstreamCallLimiter limiter = new DownstreamCallLimiter(context);
  private final TrackedRequest tracked =
      new TrackedRequest(
          new PolicyRequest(1, 0, 0, 0, 0, 0, 10, 0.5, false, false, 1, 0, 0),
          TestSettings.SAFE,
          0,
          1_000_000,
          3_000_000);

  @Test
  void outstandingCallReservesItsTimeoutAndLingerTime() {
    assertEquals(WINDOW_US - LINGER_US, limiter.availableUs());
    limiter.acquire(tracked, 1_000_000);
    assertEquals(WINDOW_US - 1_000_000 - 2 * LINGER_US, limiter.availableUs());
  }

  @Test
  void endedCallOccupiesOnlyItsDuration() {
    limiter.acquire(tracked, 1_000_000);
    context.nowUs(100_000);
    limiter.release(tracked, true);
    assertNull(tracked.activeCall);
    assertEquals(100_000, limiter.occupiedUs(WINDOW_US, WINDOW_US));
  }

  @Test
  void abandonedCallOccupiesItsLingerTimeToo() {
    limiter.acquire(tracked, 1_000_000);
    context.nowUs(100_000);
    limiter.release(tracked, false);
    assertEquals(100_000 + LINGER_US, limiter.occupiedUs(WINDOW_US, WINDOW_US));
  }

  @Test
  void rejectionLowersLimitBelowOutstandingCalls() {
    limiter.recordRejection();
    limiter.adjust(10);
    assertEquals(7, limiter.limit(), 1e-9);
    limiter.adjust(7);
    assertTrue(
        limiter.limit() > 7, "limit does not rise while it is fully used: " + limiter.limit());
  }

  @Test
  void restoredDurationIsUsedOnlyBeforeFirstCall() {
    limiter.restore(30_000, 5);
    assertEquals(30_000, limiter.typicalDurationUs());
    assertEquals(5, limiter.limit());
    limiter.recordDuration(30_000);
    limiter.restore(90_000, 0);
    assertEquals(30_000, limiter.typicalDurationUs(), 1e-6);
  }
}
