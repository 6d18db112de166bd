package rosecleat.front.uwsgi;

/**
 * Bounds the memory of response bodies that clients have not read yet, over all connections. For
 * the event loop.
 */
final class ResponseBudget {
  private long reservedBytes;

  /** Reserves memory for a body; false where that would exceed the limit. */
  boolean tryReserve(int bytes, long limitBytes) {
    if (reservedBytes + bytes > limitBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Returns memory that was reserved. */
  void release(int bytes) {
    reservedBytes -= bytes;
  }

  /** Returns how much is reserved. */
  long reservedBytes() {
    return reservedBytes;
  }
}
