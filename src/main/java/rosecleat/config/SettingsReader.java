package rosecleat.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import rosecleat.policy.CancelMode;
import rosecleat.policy.DownstreamMode;
import rosecleat.policy.Idempotency;
import rosecleat.policy.LoadAdviceMode;
import rosecleat.policy.PolicySettings;
import rosecleat.policy.PriorityClass;
import rosecleat.policy.TenantQuota;

/**
 * Reads the policy's settings from JSON. Unknown keys are ignored. A reader is stateless and can be
 * reused.
 */
public final class SettingsReader {
  /** Default of enumerated settings. */
  private static final String DEFAULT_MODE = "off";

  private static final double DEFAULT_OVER_QUOTA_WEIGHT = 1;

  /** Values of {@code effect}, which state the effect of a second execution of a request. */
  static final Map<String, Idempotency> EFFECTS =
      Map.of(
          "pure", Idempotency.SAFE, "token", Idempotency.KEYED, "side_effect", Idempotency.UNSAFE);

  private static final Map<String, CancelMode> CANCEL_MODES =
      Map.of("off", CancelMode.OFF, "drop", CancelMode.DROP, "pause", CancelMode.PAUSE);
  private static final Map<String, LoadAdviceMode> LOAD_ADVICE_MODES =
      Map.of(
          "off",
          LoadAdviceMode.OFF,
          "level",
          LoadAdviceMode.LEVEL,
          "credit",
          LoadAdviceMode.CREDIT,
          "weight",
          LoadAdviceMode.WEIGHT);
  private static final Map<String, DownstreamMode> DOWNSTREAM_MODES =
      Map.of(
          "off", DownstreamMode.OFF, "shared", DownstreamMode.SHARED, "tier", DownstreamMode.TIER);

  private final ObjectMapper mapper = new ObjectMapper();

  /**
   * Reads the settings.
   *
   * @throws ConfigException if a key is missing or has an unknown value; the error names the first
   */
  public NamedSettings read(String text) {
    JsonNode root = parse(text);
    JsonNode extra = root.path("extra");
    List<PriorityClass> classes = classes(root.path("grades"), extra);
    List<TenantQuota> tenants = tenants(root.path("parties"));
    return new NamedSettings(
        policySettings(root, extra, classes, tenants),
        texts(extra.path("gauges")),
        names(root.path("grades")),
        names(root.path("parties")));
  }

  private JsonNode parse(String text) {
    JsonNode root;
    try {
      root = mapper.readTree(text);
    } catch (JsonProcessingException e) {
      throw ConfigException.invalid("settings", "are not JSON");
    }
    if (root == null || !root.isObject()) {
      throw ConfigException.invalid("settings", "are not a JSON object");
    }
    return root;
  }

  private static List<PriorityClass> classes(JsonNode section, JsonNode extra) {
    List<PriorityClass> classes = new ArrayList<>();
    for (int i = 0; i < section.size(); i++) {
      boolean callsDownstream = extra.path("class-calls").path(i).asBoolean();
      double weightWithoutCall = extra.path("worth-without").path(i).asDouble();
      classes.add(priorityClass(section.get(i), callsDownstream, weightWithoutCall));
    }
    if (classes.isEmpty()) {
      throw ConfigException.invalid("settings", "must have a non-empty list grades");
    }
    return List.copyOf(classes);
  }

  private static PriorityClass priorityClass(
      JsonNode entry, boolean callsDownstream, double weightWithoutCall) {
    return new PriorityClass(
        required(entry, "credit").asDouble(),
        entry.path("late-worth").asDouble(),
        required(entry, "promise-us").asLong(),
        entry.path("aim-stretch").asDouble(),
        required(entry, "deadline-us").asLong(),
        choice(EFFECTS, required(entry, "effect"), "effect"),
        entry.path("window-us").asLong(),
        callsDownstream,
        weightWithoutCall);
  }

  private static List<TenantQuota> tenants(JsonNode section) {
    List<TenantQuota> tenants = new ArrayList<>();
    for (JsonNode entry : section) {
      tenants.add(new TenantQuota(entry.path("quota-per-s").asDouble()));
    }
    return List.copyOf(tenants);
  }

  private static PolicySettings policySettings(
      JsonNode root, JsonNode extra, List<PriorityClass> classes, List<TenantQuota> tenants) {
    JsonNode rules = root.path("rules");
    return new PolicySettings(
        required(extra, "cpus").asInt(),
        root.path("servers").asInt(),
        extra.path("clients-total").asInt(),
        extra.path("cold").asBoolean(),
        rules.path("cold-share").asDouble(),
        rules.path("ramp-time-us").asLong(),
        required(extra, "mem-limit-kb").asDouble(),
        required(extra, "run-factor").asDouble(),
        extra.path("key-kb").asDouble(),
        required(rules, "fall-multiple").asDouble(),
        required(rules, "overload-for-us").asLong(),
        required(rules, "stop-sending-within-us").asLong(),
        required(rules, "answer-slack-us").asLong(),
        extra.path("passes-deadline").asBoolean(),
        extra.path("tells-gone").asBoolean(),
        root.path("clients").path("marks-retry").asBoolean(),
        root.path("worth-by").asText().equals("work"),
        root.path("over-share-worth").asDouble(DEFAULT_OVER_QUOTA_WEIGHT),
        choice(CANCEL_MODES, extra.path("halt"), "halt"),
        choice(LOAD_ADVICE_MODES, extra.path("say"), "say"),
        extra.path("heeded-us").asLong(),
        maxRetryAfterUs(root.path("bounds")),
        extra.path("readiness").asBoolean(),
        extra.path("deep-checks").asBoolean(),
        extra.path("idle-us").asLong(),
        extra.path("share-for-us").asLong(),
        choice(DOWNSTREAM_MODES, extra.path("below"), "below"),
        extra.path("calls-out").asDouble(),
        extra.path("calls-over-us").asLong(),
        extra.path("lingers-us").asLong(),
        root.path("round-us").asLong(),
        classes,
        tenants);
  }

  /** Returns 0 if callers do not honour the Retry-After time of a rejection. */
  private static long maxRetryAfterUs(JsonNode bounds) {
    return bounds.path("retry-after").asBoolean() ? bounds.path("max-retry-after-us").asLong() : 0;
  }

  private static List<String> texts(JsonNode list) {
    List<String> texts = new ArrayList<>();
    for (JsonNode element : list) {
      texts.add(element.asText());
    }
    return List.copyOf(texts);
  }

  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    for (JsonNode element : list) {
      names.add(element.path("name").asText());
    }
    return List.copyOf(names);
  }

  private static JsonNode required(JsonNode section, String key) {
    JsonNode value = section.path(key);
    if (value.isMissingNode() || value.isNull()) {
      throw ConfigException.invalid("settings", "lack the required key " + key);
    }
    return value;
  }

  private static <T> T choice(Map<String, T> choices, JsonNode value, String key) {
    String word = value.isMissingNode() || value.isNull() ? DEFAULT_MODE : value.asText();
    T choice = choices.get(word);
    if (choice == null) {
      throw ConfigException.invalid(
          "settings",
          "have the unknown value "
              + word
              + " for "
              + key
              + ", expected one of "
              + new TreeSet<>(choices.keySet()));
    }
    return choice;
  }
}
