package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import rosecleat.policy.Idempotency;
import rosecleat.policy.PriorityClass;

/**
 * The terms of an operation's contract, as far as they decide its class.
 *
 * @param priorityWeight the weight of a class that the contract defines, by default 1
 * @param latencyObjectiveUs the time within which responses should come, in microseconds
 * @param deadlineUs the time after which a response is worth nothing, in microseconds
 * @param effect what happens when a request is executed twice
 * @param idempotencyWindowUs how long an idempotency key is remembered, in microseconds; 0 for
 *     operations without keys
 */
record ContractTerms(
    double priorityWeight,
    long latencyObjectiveUs,
    long deadlineUs,
    Idempotency effect,
    long idempotencyWindowUs) {
  private static final double DEFAULT_PRIORITY_WEIGHT = 1;

  /**
   * Reads a contract.
   *
   * @param subject the operation, for errors
   * @param contract the contract's entry
   * @param nodeClass the node's class of the same name, which supplies what the contract does not
   *     say; null where there is none
   */
  static ContractTerms read(String subject, JsonNode contract, PriorityClass nodeClass) {
    Idempotency effect = effect(subject, contract.path("effect").asText(""), nodeClass);
    long latencyObjectiveUs =
        time(subject, contract, "aim_ms", nodeClass == null ? 0 : nodeClass.latencyObjectiveUs());
    long deadlineUs =
        time(subject, contract, "deadline_ms", nodeClass == null ? 0 : nodeClass.deadlineUs());
    long idempotencyWindowUs = 0;
    if (effect == Idempotency.KEYED) {
      long classWindowUs = nodeClass == null ? 0 : nodeClass.retryWindowUs();
      idempotencyWindowUs = time(subject, contract, "window_ms", classWindowUs);
    }
    if (latencyObjectiveUs > deadlineUs) {
      throw ConfigException.invalid(subject, "has an aim behind its deadline");
    }
    return new ContractTerms(
        contract.path("worth").asDouble(DEFAULT_PRIORITY_WEIGHT),
        latencyObjectiveUs,
        deadlineUs,
        effect,
        idempotencyWindowUs);
  }

  private static Idempotency effect(String subject, String word, PriorityClass nodeClass) {
    boolean fromClass = word.isEmpty() && nodeClass != null;
    Idempotency effect = fromClass ? nodeClass.idempotency() : SettingsReader.EFFECTS.get(word);
    if (effect == null) {
      throw ConfigException.invalid(subject, "has no known effect (pure, token or side_effect)");
    }
    if (nodeClass != null && nodeClass.idempotency() != effect) {
      throw ConfigException.invalid(subject, "has another effect than its class");
    }
    return effect;
  }

  private static long time(String subject, JsonNode contract, String keyInMs, long defaultUs) {
    long timeUs =
        contract.has(keyInMs)
            ? contract.path(keyInMs).asLong() * Units.MICROSECONDS_PER_MS
            : defaultUs;
    if (timeUs <= 0) {
      throw ConfigException.invalid(subject, "lacks " + keyInMs);
    }
    return timeUs;
  }

  /** A class that only the contract defines; its requests make no calls downstream. */
  PriorityClass newClass() {
    return new PriorityClass(
        priorityWeight,
        0,
        latencyObjectiveUs,
        0,
        deadlineUs,
        effect,
        idempotencyWindowUs,
        false,
        0);
  }

  /** The node's class with the contract's times; keys are remembered for the longer window. */
  PriorityClass applyTo(PriorityClass nodeClass) {
    long windowUs =
        nodeClass.idempotency() == Idempotency.KEYED
            ? Math.max(idempotencyWindowUs, nodeClass.retryWindowUs())
            : nodeClass.retryWindowUs();
    return new PriorityClass(
        nodeClass.priorityWeight(),
        nodeClass.lateWeight(),
        latencyObjectiveUs,
        nodeClass.objectiveRunTimeFactor(),
        deadlineUs,
        effect,
        windowUs,
        nodeClass.callsDownstream(),
        nodeClass.weightWithoutCall());
  }
}
