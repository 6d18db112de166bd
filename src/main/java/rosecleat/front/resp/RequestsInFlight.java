package rosecleat.front.resp;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rosecleat.core.RequestHandle;
import rosecleat.net.MemoryPool;

/**
 * The requests of one connection that await their responses, by tag, and the memory that they
 * occupy. All methods must be called on the event loop.
 */
final class RequestsInFlight {
  /** Objects of a request beside its message, in the frontend, the core and the policy. */
  private static final int REQUEST_OBJECT_BYTES = 2 << 10;

  private record Entry(RequestHandle handle, int heapBytes) {}

  private final MemoryPool.Account memory;
  private final Map<Long, Entry> byTag = new HashMap<>();

  /** Creates an instance without requests that uses the memory of an account. */
  RequestsInFlight(MemoryPool.Account memory) {
    this.memory = memory;
  }

  /** Reserves memory for the request of a message; returns false if there is none. */
  boolean tryReserve(RespMessage message) {
    return memory.tryReserve(heapBytes(message));
  }

  /** Releases the memory of a message whose request is not in flight. */
  void release(RespMessage message) {
    memory.release(heapBytes(message));
  }

  private static int heapBytes(RespMessage message) {
    return REQUEST_OBJECT_BYTES + message.heapBytes();
  }

  /** Adds the request of a message for which memory has been reserved. */
  void add(long tag, RequestHandle handle, RespMessage message) {
    byTag.put(tag, new Entry(handle, heapBytes(message)));
  }

  /** Removes a request and releases its memory; returns empty if it is not in flight. */
  Optional<RequestHandle> remove(long tag) {
    Entry removed = byTag.remove(tag);
    if (removed == null) {
      return Optional.empty();
    }
    memory.release(removed.heapBytes);
    return Optional.of(removed.handle);
  }

  /** Cancels and removes all requests. */
  void cancelAll() {
    List<Entry> cancelled = new ArrayList<>(byTag.values());
    byTag.clear();
    memory.releaseAll();
    cancelled.forEach(entry -> entry.handle.cancel());
  }

  int size() {
    return byTag.size();
  }

  boolean isEmpty() {
    return byTag.isEmpty();
  }
}
