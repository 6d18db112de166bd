package rosecleat.front.uwsgi;

/**
 * Limits the memory of response bodies that clients have not read yet, over all connections. All
 * methods must be called on the event loop.
 */
final class ResponseBudget {
  private long reservedBytes;

  /** Reserves memory for a body; returns false if the reserved total would exceed the limit. */
  boolean tryReserve(int bytes, long limitBytes) {
    if (reservedBytes + bytes > limitBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Releases memory that was reserved. */
  void release(int bytes) {
    reservedBytes -= bytes;
  }

  /** Returns the number of bytes that are reserved. */
  long reservedBytes() {
    return reservedBytes;
  }
}
