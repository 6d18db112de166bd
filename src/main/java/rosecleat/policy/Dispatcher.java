package rosecleat.policy;

import java.util.List;

/**
 * Starts queued requests while there is capacity: the heaviest first while the gate binds,
 * otherwise in queue order. Requests that would miss their latency objective count with their late
 * weight.
 */
final class Dispatcher {
  private final PolicyContext context;
  private final RequestTable requests;
  private final AdmissionGate gate;
  private final ConcurrencyLimiter concurrency;
  private final RequestWeights weights;
  private final MemoryBudget memory;
  private final CompletionForecast forecast;
  private final ServerAvailability availability;
  private final IdempotencyRecords idempotency;
  private final ResponseSender responses;

  Dispatcher(
      PolicyContext context,
      RequestTable requests,
      AdmissionGate gate,
      ConcurrencyLimiter concurrency,
      RequestWeights weights,
      MemoryBudget memory,
      CompletionForecast forecast,
      ServerAvailability availability,
      IdempotencyRecords idempotency,
      ResponseSender responses) {
    this.context = context;
    this.requests = requests;
    this.gate = gate;
    this.concurrency = concurrency;
    this.weights = weights;
    this.memory = memory;
    this.forecast = forecast;
    this.availability = availability;
    this.idempotency = idempotency;
    this.responses = responses;
  }

  /** Starts queued requests until capacity is used up; rejects those that cannot finish in time. */
  void dispatch() {
    while (concurrency.hasCapacity() && !availability.isStalled()) {
      TrackedRequest next = selectNext();
      if (next == null) {
        return;
      }
      requests.start(next);
      idempotency.rememberRunningRead(next);
      context.actions.run(next.id());
    }
  }

  /** Returns the request to start next, or null if there is none. */
  private TrackedRequest selectNext() {
    List<TrackedRequest> queue = requests.queue();
    boolean binding = gate.isBinding();
    TrackedRequest best = null;
    double bestWeight = -1;
    for (int i = 0; i < queue.size(); i++) {
      TrackedRequest tracked = queue.get(i);
      if (tracked.mustNotRunAgain() || !memory.hasCapacityToRun(tracked)) {
        continue;
      }
      if (forecast.isHopeless(tracked)) {
        responses.reject(tracked);
        // rejecting may remove other requests from the queue, so start over
        i = -1;
        best = null;
        bestWeight = -1;
        continue;
      }
      double weight = binding ? weights.weight(tracked) : 1;
      if (forecast.missesObjective(tracked)) {
        weight *= tracked.priorityClass.lateWeight();
      }
      if (weight > bestWeight) {
        best = tracked;
        bestWeight = weight;
      }
    }
    return best;
  }
}
