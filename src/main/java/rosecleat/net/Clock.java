package rosecleat.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The system's Unix clock in microseconds, held back from ever running backwards. For one thread.
 */
public final class Clock implements LongSupplier {
  private final LongSupplier source;
  private long last;

  /** The system's clock. */
  public Clock() {
    this(Clock::systemUs);
  }

  /** What the system's clock shows, which may be set back; for any thread. */
  public static long systemUs() {
    Instant now = Instant.now();
    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
  }

  /** A clock over another source, which may jump. */
  public Clock(LongSupplier source) {
    this.source = source;
  }

  /** Guards against a wall clock that is set back: time stands still until it has caught up. */
  @Override
  public long getAsLong() {
    last = Math.max(last, source.getAsLong());
    return last;
  }
}
