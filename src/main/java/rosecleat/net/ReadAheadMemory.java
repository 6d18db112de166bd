package rosecleat.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A bound on the buffers into which connections read ahead of their handlers, as a sum over the
 * connections that share it. Thread-safe.
 */
public final class ReadAheadMemory {
  /** For connections that read no further than their own buffers. */
  public static final ReadAheadMemory NONE = new ReadAheadMemory(0);

  private final long limitBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  /** Creates a bound of {@code limitBytes}. */
  public ReadAheadMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns the most bytes of all buffers. */
  public long limitBytes() {
    return limitBytes;
  }

  boolean tryReserve(int bytes) {
    if (usedBytes.addAndGet(bytes) <= limitBytes) {
      return true;
    }
    usedBytes.addAndGet(-bytes);
    return false;
  }

  void release(int bytes) {
    usedBytes.addAndGet(-bytes);
  }
}
