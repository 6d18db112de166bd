package rosecleat.policy;

/**
 * Something that a policy has learned.
 *
 * @param kind what it is about
 * @param subject the name of the class or tenant, empty where it is about the server
 * @param value the value, in the unit of its kind
 * @param samples what the value rests on, in the unit of its kind
 */
public record Estimate(EstimateKind kind, String subject, double value, double samples) {}
