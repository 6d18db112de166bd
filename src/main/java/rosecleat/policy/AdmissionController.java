package rosecleat.policy;

/** Admits or rejects arrivals. */
final class AdmissionController {
  private final PolicyContext context;
  private final RequestTable requests;
  private final AdmissionGate gate;
  private final RequestWeights weights;
  private final MemoryBudget memory;
  private final CompletionForecast forecast;
  private final OverloadEstimator overload;
  private final ServerAvailability availability;
  private final IdempotencyRecords idempotency;
  private final ResponseSender responses;

  AdmissionController(
      PolicyContext context,
      RequestTable requests,
      AdmissionGate gate,
      RequestWeights weights,
      MemoryBudget memory,
      CompletionForecast forecast,
      OverloadEstimator overload,
      ServerAvailability availability,
      IdempotencyRecords idempotency,
      ResponseSender responses) {
    this.context = context;
    this.requests = requests;
    this.gate = gate;
    this.weights = weights;
    this.memory = memory;
    this.forecast = forecast;
    this.overload = overload;
    this.availability = availability;
    this.idempotency = idempotency;
    this.responses = responses;
  }

  /**
   * Admits or rejects an arrival that is already queued.
   *
   * @param weight weight of its response
   * @param advisedLevel rank below which callers were advised not to send requests
   */
  void admit(TrackedRequest tracked, double weight, double advisedLevel) {
    boolean afterGrace = availability.isPastGrace(tracked);
    if (tracked.request.originalId() != 0 && handleRepeat(tracked, afterGrace)) {
      return;
    }
    double rejectionChance = rejectionChance(weight);
    overload.recordDecision(rejectionChance, tracked.request.rank() < advisedLevel);
    if (afterGrace
        || availability.isStalled()
        || memory.isFull()
        || forecast.isHopeless(tracked)
        || (tracked.isKeyed() && !memory.hasCapacityForKey())
        || (isDrawnForRejection(rejectionChance) && !rejectLighterQueued(weight))) {
      responses.reject(tracked);
    } else if (tracked.isKeyed()) {
      idempotency.rememberEffect(tracked);
    }
  }

  /** Handles a request that repeats another; returns false if it must run as new work. */
  private boolean handleRepeat(TrackedRequest tracked, boolean afterGrace) {
    switch (idempotency.classify(tracked, afterGrace, availability.isStalled())) {
      case ATTACH -> idempotency.attach(tracked);
      case ANSWER -> responses.answer(tracked);
      default -> {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the probability that the gate rejects an arrival, which competes only with arrivals of
   * equal or higher weight.
   */
  private double rejectionChance(double weight) {
    if (!gate.isBinding()) {
      return 0;
    }
    // A request that is read late may make the gate bind by its own waiting time. With no request
    // queued before it, it can start at once, so the gate does not reject it unless heavier
    // arrivals alone exceed this server's capacity.
    double heavierShare = weights.shareAtLeast(weight / RequestWeights.EQUAL_WEIGHT_RATIO);
    if (requests.queue().size() <= 1 && gate.averageOfferedLoad * heavierShare <= 1) {
      return 0;
    }
    return 1
        - gate.filteringCoefficient(
            weights.shareAtLeast(weight * RequestWeights.EQUAL_WEIGHT_RATIO));
  }

  private boolean isDrawnForRejection(double rejectionChance) {
    return rejectionChance > 0 && context.random.nextDouble() < rejectionChance;
  }

  /**
   * Rejects the lightest queued request in place of a heavier arrival; returns false if none is
   * lighter.
   */
  private boolean rejectLighterQueued(double weight) {
    TrackedRequest lightest = null;
    double lightestWeight = weight * RequestWeights.EQUAL_WEIGHT_RATIO;
    for (TrackedRequest tracked : requests.queue()) {
      double queuedWeight = weights.weight(tracked);
      if (queuedWeight < lightestWeight && tracked.mayBeRejected()) {
        lightest = tracked;
        lightestWeight = queuedWeight;
      }
    }
    if (lightest != null) {
      responses.reject(lightest);
    }
    return lightest != null;
  }
}
