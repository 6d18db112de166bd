package rosecleat.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * A Unix clock in microseconds that never runs backwards. When its source is set back, the clock
 * returns the same time until the source has caught up. Not thread-safe.
 */
public final class MonotonicClock implements LongSupplier {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;

  private final LongSupplier source;
  private long latestUs;

  /** Creates a clock whose source is the system clock. */
  public MonotonicClock() {
    this(MonotonicClock::systemTimeUs);
  }

  /** Creates a clock with another source of Unix time in microseconds, which may be set back. */
  public MonotonicClock(LongSupplier source) {
    this.source = source;
  }

  /** Returns the system's Unix time in microseconds, which may be set back. Thread-safe. */
  public static long systemTimeUs() {
    Instant now = Instant.now();
    return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
  }

  /** Returns the Unix time in microseconds, never less than any value returned before. */
  @Override
  public long getAsLong() {
    latestUs = Math.max(latestUs, source.getAsLong());
    return latestUs;
  }
}
