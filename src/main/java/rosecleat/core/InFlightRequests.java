package rosecleat.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The requests in flight: those whose response is awaited or whose run has not ended. For the
 * core's thread.
 */
final class InFlightRequests {
  private final Map<Long, InFlightRequest> bySequence = new HashMap<>();
  private final Map<String, InFlightRequest> byId = new HashMap<>();

  /** Adds a request whose id is not in use. */
  void add(InFlightRequest request) {
    bySequence.put(request.sequence(), request);
    byId.put(request.id(), request);
  }

  /** Removes a request; does nothing if it is not in flight. */
  void remove(InFlightRequest request) {
    bySequence.remove(request.sequence());
    byId.remove(request.id(), request);
  }

  /** Returns the request with this sequence number, which identifies it in the policy. */
  Optional<InFlightRequest> find(long sequence) {
    return Optional.ofNullable(bySequence.get(sequence));
  }

  /**
   * Returns the request with this id, which identifies it to the runner and the downstream client.
   */
  Optional<InFlightRequest> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns whether a request with this id is in flight. */
  boolean contains(String id) {
    return byId.containsKey(id);
  }

  /** Returns a copy of all requests, for callers that close requests while iterating. */
  List<InFlightRequest> snapshot() {
    return List.copyOf(bySequence.values());
  }

  /** Returns the number of requests in flight. */
  int size() {
    return bySequence.size();
  }

  /** Returns the number of requests that satisfy a condition. */
  long count(Predicate<InFlightRequest> condition) {
    return bySequence.values().stream().filter(condition).count();
  }

  /** Returns whether any request satisfies a condition. */
  boolean any(Predicate<InFlightRequest> condition) {
    return bySequence.values().stream().anyMatch(condition);
  }
}
