package rosecleat.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The requests that are in flight: those whose response is awaited, and those whose run has not
 * ended. For the core's thread.
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

  /** The request that the policy knows by a number. */
  Optional<InFlightRequest> find(long sequence) {
    return Optional.ofNullable(bySequence.get(sequence));
  }

  /** The request that the runner and the downstream client know by an id. */
  Optional<InFlightRequest> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Whether a request with this id is in flight. */
  boolean contains(String id) {
    return byId.containsKey(id);
  }

  /** A copy of all requests, for callers that close some of them on the way. */
  List<InFlightRequest> snapshot() {
    return List.copyOf(bySequence.values());
  }

  /** How many requests are in flight. */
  int size() {
    return bySequence.size();
  }

  /** How many requests satisfy a condition. */
  long count(Predicate<InFlightRequest> condition) {
    return bySequence.values().stream().filter(condition).count();
  }

  /** Whether any request satisfies a condition. */
  boolean any(Predicate<InFlightRequest> condition) {
    return bySequence.values().stream().anyMatch(condition);
  }
}
