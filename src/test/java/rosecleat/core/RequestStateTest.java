package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Compares the permitted state transitions with an independent copy of their table. */
class RequestStateTest {
  private static final Map<RequestState, Set<RequestState>> TRANSITIONS =
      Map.of(
          RequestState.QUEUED,
          Set.of(RequestState.RUNNING, RequestState.AWAITING_RESULT, RequestState.CLOSED),
          RequestState.AWAITING_RESULT,
          Set.of(RequestState.CLOSED),
          RequestState.RUNNING,
          Set.of(RequestState.CALL_REQUESTED, RequestState.QUEUED, RequestState.CLOSED),
          RequestState.CALL_REQUESTED,
          Set.of(
              RequestState.CALLING, RequestState.RUNNING, RequestState.QUEUED, RequestState.CLOSED),
          RequestState.CALLING,
          Set.of(
              RequestState.RUNNING,
              RequestState.CALL_REQUESTED,
              RequestState.QUEUED,
              RequestState.CLOSED),
          RequestState.CLOSED,
          Set.of(RequestState.CLOSED));

  @Test
  void exactlyTheListedTransitionsArePermitted() {
    for (RequestState from : RequestState.values()) {
      for (RequestState to : EnumSet.allOf(RequestState.class)) {
        assertEquals(
            TRANSITIONS.get(from).contains(to), from.canTransitionTo(to), from + " to " + to);
      }
    }
  }
}
