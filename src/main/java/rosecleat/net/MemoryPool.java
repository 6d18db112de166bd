package rosecleat.net;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A bound on the heap bytes that all clients of a process hold for one purpose, as a sum. Clients
 * that hold little and clients that hold much have separate parts, so the latter can't displace the
 * former. Whoever wants to hold much and finds nothing left is refused. Whoever wants to hold
 * little is refused only if no other account that holds little can be evicted; the one that has
 * held its bytes for longest is evicted first. All methods must be called on the event loop.
 */
public final class MemoryPool {
  /** Most of a pool that is set aside for accounts that hold little. */
  private static final double MAX_SMALL_SHARE = 0.8;

  private final long limitBytes;
  private final long smallAccountBytes;
  private final long smallLimitBytes;

  /** The accounts that hold little and may be evicted, by when they began to hold bytes. */
  private final Set<Account> evictable = new LinkedHashSet<>();

  private long usedBySmall;
  private long usedByLarge;

  /**
   * Creates an unused pool.
   *
   * @param limitBytes the most bytes that all accounts may hold together
   * @param smallAccountBytes the most bytes that an account holds to count as small
   * @param maxAccounts the most accounts that are open at a time
   */
  public MemoryPool(long limitBytes, long smallAccountBytes, int maxAccounts) {
    this.limitBytes = limitBytes;
    this.smallAccountBytes = smallAccountBytes;
    smallLimitBytes =
        Math.min(smallAccountBytes * maxAccounts, (long) (MAX_SMALL_SHARE * limitBytes));
  }

  /** Returns the most bytes that all accounts may hold together. */
  public long limitBytes() {
    return limitBytes;
  }

  /** Returns the bytes that all accounts hold at present. */
  public long usedBytes() {
    return usedBySmall + usedByLarge;
  }

  /** Opens an account that holds nothing and is never evicted. */
  public Account openAccount() {
    return new Account(null);
  }

  /**
   * Opens an account that holds nothing and may be evicted while it holds little.
   *
   * @param evictionHandler told that the account has lost its bytes, which must not be used
   */
  public Account openAccount(Runnable evictionHandler) {
    return new Account(evictionHandler);
  }

  /** The bytes that one client holds. */
  public final class Account {
    private final Runnable evictionHandler;
    private long heldBytes;

    private Account(Runnable evictionHandler) {
      this.evictionHandler = evictionHandler;
    }

    /** Adds bytes to those held; returns false, with nothing changed, if they are not available. */
    public boolean tryReserve(long bytes) {
      return tryHold(heldBytes + bytes);
    }

    /** Gives back some of the bytes held. */
    public void release(long bytes) {
      hold(heldBytes - bytes);
    }

    /** Changes the bytes held; returns false, with nothing changed, if they are not available. */
    public boolean tryHold(long bytes) {
      boolean available =
          bytes <= heldBytes || (isSmall(bytes) ? makeRoom(bytes) : hasRoomAsLarge(bytes));
      if (available) {
        hold(bytes);
      }
      return available;
    }

    /** Gives back all bytes held. */
    public void releaseAll() {
      hold(0);
    }

    /** Returns the bytes held. */
    public long heldBytes() {
      return heldBytes;
    }

    /**
     * Small accounts may hold more than their part, since an account that shrinks is not refused.
     */
    private boolean hasRoomAsLarge(long bytes) {
      long alreadyCounted = isSmall(heldBytes) ? 0 : heldBytes;
      return usedByLarge - alreadyCounted + bytes <= limitBytes - smallLimitBytes
          && usedBytes() - heldBytes + bytes <= limitBytes;
    }

    private boolean makeRoom(long bytes) {
      while (usedBySmall - heldBytes + bytes > smallLimitBytes) {
        Iterator<Account> oldest = evictable.iterator();
        Account victim = oldest.hasNext() ? oldest.next() : this;
        if (victim == this) {
          return false;
        }
        victim.releaseAll();
        victim.evictionHandler.run();
      }
      return true;
    }

    private void hold(long bytes) {
      if (isSmall(heldBytes)) {
        usedBySmall -= heldBytes;
      } else {
        usedByLarge -= heldBytes;
      }
      heldBytes = bytes;
      if (isSmall(bytes)) {
        usedBySmall += bytes;
      } else {
        usedByLarge += bytes;
      }
      if (evictionHandler != null && isSmall(bytes) && bytes > 0) {
        evictable.add(this);
      } else {
        evictable.remove(this);
      }
    }
  }

  private boolean isSmall(long bytes) {
    return bytes <= smallAccountBytes;
  }
}
