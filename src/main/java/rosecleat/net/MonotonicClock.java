package rosecleat.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * A Unix clock in microseconds that never runs backwards: when the source is set back, time stands
 * still until the source has caught up. For one thread.
 */
public final class MonotonicClock implements LongSupplier {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;

  private final LongSupplier source;
  private long latestUs;

  /** Creates a clock over the system's clock. */
  public MonotonicClock() {
    this(MonotonicClock::systemTimeUs);
  }

  /** Creates a clock over another source of Unix microseconds, which may jump. */
  public MonotonicClock(LongSupplier source) {
    this.source = source;
  }

  /** Returns the system's Unix time in microseconds, which may be set back. Safe on any thread. */
  public static long systemTimeUs() {
    Instant now = Instant.now();
    return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
  }

  /** Returns the Unix time in microseconds, at least as late as any value returned before. */
  @Override
  public long getAsLong() {
    latestUs = Math.max(latestUs, source.getAsLong());
    return latestUs;
  }
}
