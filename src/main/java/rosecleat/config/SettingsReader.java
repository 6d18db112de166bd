package rosecleat.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rosecleat.policy.CancelMode;
import rosecleat.policy.DownstreamMode;
import rosecleat.policy.Idempotency;
import rosecleat.policy.LoadAdviceMode;
import rosecleat.policy.PolicySettings;
import rosecleat.policy.PriorityClass;
import rosecleat.policy.TenantQuota;

/**
 * Turns the settings text of a start into the module's settings. Keys it does not know are skipped.
 */
public final class SettingsReader {
  private static final Map<String, Idempotency> EFFECTS =
      Map.of(
          "pure", Idempotency.SAFE, "token", Idempotency.KEYED, "side_effect", Idempotency.UNSAFE);
  private static final Map<String, CancelMode> HALTS =
      Map.of("off", CancelMode.OFF, "drop", CancelMode.DROP, "pause", CancelMode.PAUSE);
  private static final Map<String, LoadAdviceMode> SAYS =
      Map.of(
          "off",
          LoadAdviceMode.OFF,
          "level",
          LoadAdviceMode.LEVEL,
          "credit",
          LoadAdviceMode.CREDIT,
          "weight",
          LoadAdviceMode.WEIGHT);
  private static final Map<String, DownstreamMode> BELOWS =
      Map.of(
          "off", DownstreamMode.OFF, "shared", DownstreamMode.SHARED, "tier", DownstreamMode.TIER);

  private final ObjectMapper mapper = new ObjectMapper();

  /** The settings, and the names of the gauges, classes and tenants in the order they come. */
  public record Start(
      PolicySettings settings, List<String> gauges, List<String> classes, List<String> tenants) {}

  /**
   * Reads the settings text; what is missing or unknown is a {@link ConfigException} of one line.
   */
  public Start read(String text) {
    JsonNode root;
    try {
      root = mapper.readTree(text);
    } catch (JsonProcessingException e) {
      throw new ConfigException("settings are not JSON");
    }
    if (root == null || !root.isObject()) {
      throw new ConfigException("settings are not a JSON object");
    }
    JsonNode extra = root.path("extra");
    JsonNode rules = root.path("rules");
    JsonNode bounds = root.path("bounds");
    List<PriorityClass> classes = new ArrayList<>();
    JsonNode grades = root.path("grades");
    for (int i = 0; i < grades.size(); i++) {
      JsonNode g = grades.get(i);
      classes.add(
          new PriorityClass(
              need(g, "credit").asDouble(),
              g.path("late-worth").asDouble(),
              need(g, "promise-us").asLong(),
              g.path("aim-stretch").asDouble(),
              need(g, "deadline-us").asLong(),
              word(EFFECTS, need(g, "effect"), "effect"),
              g.path("window-us").asLong(),
              extra.path("class-calls").path(i).asBoolean(),
              extra.path("worth-without").path(i).asDouble()));
    }
    if (classes.isEmpty()) {
      throw new ConfigException("settings lack grades");
    }
    List<TenantQuota> tenants = new ArrayList<>();
    for (JsonNode p : root.path("parties")) {
      tenants.add(new TenantQuota(p.path("quota-per-s").asDouble()));
    }
    List<String> gauges = new ArrayList<>();
    for (JsonNode g : extra.path("gauges")) {
      gauges.add(g.asText());
    }
    PolicySettings settings =
        new PolicySettings(
            need(extra, "cpus").asInt(),
            root.path("servers").asInt(),
            extra.path("clients-total").asInt(),
            extra.path("cold").asBoolean(),
            rules.path("cold-share").asDouble(),
            rules.path("ramp-time-us").asLong(),
            need(extra, "mem-limit-kb").asDouble(),
            need(extra, "run-factor").asDouble(),
            extra.path("key-kb").asDouble(),
            need(rules, "fall-multiple").asDouble(),
            need(rules, "overload-for-us").asLong(),
            need(rules, "stop-sending-within-us").asLong(),
            need(rules, "answer-slack-us").asLong(),
            extra.path("passes-deadline").asBoolean(),
            extra.path("tells-gone").asBoolean(),
            root.path("clients").path("marks-retry").asBoolean(),
            root.path("worth-by").asText().equals("work"),
            root.path("over-share-worth").asDouble(1),
            word(HALTS, extra.path("halt"), "halt"),
            word(SAYS, extra.path("say"), "say"),
            extra.path("heeded-us").asLong(),
            bounds.path("retry-after").asBoolean() ? bounds.path("max-retry-after-us").asLong() : 0,
            extra.path("readiness").asBoolean(),
            extra.path("deep-checks").asBoolean(),
            extra.path("idle-us").asLong(),
            extra.path("share-for-us").asLong(),
            word(BELOWS, extra.path("below"), "below"),
            extra.path("calls-out").asDouble(),
            extra.path("calls-over-us").asLong(),
            extra.path("lingers-us").asLong(),
            root.path("round-us").asLong(),
            List.copyOf(classes),
            List.copyOf(tenants));
    return new Start(settings, List.copyOf(gauges), names(grades), names(root.path("parties")));
  }

  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    for (JsonNode entry : list) {
      names.add(entry.path("name").asText());
    }
    return List.copyOf(names);
  }

  private static JsonNode need(JsonNode node, String key) {
    JsonNode found = node.path(key);
    if (found.isMissingNode() || found.isNull()) {
      throw new ConfigException("settings lack " + key);
    }
    return found;
  }

  private static <T> T word(Map<String, T> words, JsonNode node, String what) {
    T found = words.get(node.isMissingNode() || node.isNull() ? "off" : node.asText());
    if (found == null) {
      throw new ConfigException("settings have an unknown word for " + what);
    }
    return found;
  }
}
