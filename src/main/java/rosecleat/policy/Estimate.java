package rosecleat.policy;

/**
 * A value that a policy has learned.
 *
 * @param kind the quantity that is estimated
 * @param subject name of the class or tenant, empty if the estimate is about the server
 * @param value the value, in the unit of its kind
 * @param samples amount of observation behind the value, in the unit of its kind
 */
public record Estimate(EstimateKind kind, String subject, double value, double samples) {}
