package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import rosecleat.policy.Idempotency;
import rosecleat.policy.PriorityClass;

/**
 * The terms of an operation's contract that determine its request class.
 *
 * @param priorityWeight the weight of the class if the contract defines a new one; default 1
 * @param latencyObjectiveUs the latency objective of responses, in microseconds
 * @param deadlineUs the time after which a response has no value, in microseconds
 * @param effect the effect of executing a request twice
 * @param idempotencyWindowUs how long an idempotency key is stored, in microseconds; 0 for
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
   * @param subject the operation, for error messages
   * @param contract the contract's entry in the broker file
   * @param nodeClass the node's class of the same name, which supplies defaults for keys that the
   *     contract omits; null if there is none
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
      throw ConfigException.invalid(
          subject,
          "has aim_ms "
              + latencyObjectiveUs / (double) Units.MICROSECONDS_PER_MS
              + ", which exceeds deadline_ms "
              + deadlineUs / (double) Units.MICROSECONDS_PER_MS
              + " (a value may come from its class)");
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
      throw ConfigException.invalid(
          subject,
          "lacks effect (pure, token or side_effect), which is required as the node defines no"
              + " class of this name");
    }
    if (nodeClass != null && nodeClass.idempotency() != effect) {
      throw ConfigException.invalid(
          subject, "has the effect " + word + ", which differs from the effect of its class");
    }
    return effect;
  }

  private static long time(String subject, JsonNode contract, String keyInMs, long defaultUs) {
    long timeUs =
        contract.has(keyInMs)
            ? contract.path(keyInMs).asLong() * Units.MICROSECONDS_PER_MS
            : defaultUs;
    if (timeUs <= 0) {
      throw ConfigException.invalid(
          subject, "needs a positive " + keyInMs + " in its contract or from its class");
    }
    return timeUs;
  }

  /** Creates a class that only the contract defines; its requests make no downstream calls. */
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

  /**
   * Returns the node's class with the times of this contract. Idempotency keys are stored for the
   * longer window of the two.
   */
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
