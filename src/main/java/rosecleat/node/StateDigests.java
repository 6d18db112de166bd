package rosecleat.node;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.facts.SettingsDigests;
import rosecleat.policy.PolicySettings;
import rosecleat.policy.PriorityClass;

/**
 * Digests of the settings that estimates depend on. They are stored with the estimates. At the next
 * start an estimate whose digest differs is dropped, so the texts that are hashed must not change.
 */
final class StateDigests {
  /**
   * Largest fraction of the shortest latency objective that a stored estimate of the call time may
   * have. A longer estimate would prevent all calls.
   */
  private static final double MAX_CALL_PART_OF_OBJECTIVE = 0.25;

  private static final int DIGEST_BYTES = 8;

  private StateDigests() {}

  /** Returns the digests and the maximum values of estimates under the settings in force. */
  static SettingsDigests of(IndexedSettings settings) {
    Map<String, String> classes = new HashMap<>();
    Map<String, String> tenants = new HashMap<>();
    Map<Fact.Key, Double> maxValues = new HashMap<>();
    double maxCallUs = Double.MAX_VALUE;
    for (Map.Entry<String, PriorityClass> entry : settings.classSettings().entrySet()) {
      PriorityClass each = entry.getValue();
      double objectiveUs = each.latencyObjectiveUs();
      classes.put(entry.getKey(), digest(each.digestText()));
      maxValues.put(new Fact.Key(FactKind.RUN_TIME, entry.getKey()), objectiveUs);
      if (each.callsDownstream()) {
        maxCallUs = Math.min(maxCallUs, MAX_CALL_PART_OF_OBJECTIVE * objectiveUs);
      }
    }
    settings.quotas().forEach((name, quota) -> tenants.put(name, digest(quota.digestText())));
    maxValues.put(new Fact.Key(FactKind.CALL_TIME, ""), maxCallUs);
    return new SettingsDigests(
        settings.nodeConfig().name(),
        serverDigest(settings.policySettings()),
        classes,
        tenants,
        maxValues);
  }

  private static String serverDigest(PolicySettings settings) {
    return digest(
        settings.cores()
            + " "
            + settings.overloadMultiple()
            + " "
            + settings.concurrentCalls()
            + " "
            + settings.callWindowUs());
  }

  private static String digest(String text) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform supports SHA-256
    }
  }
}
