package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates the types, ranges and names of a node's configuration file before anything is read from
 * it, so that a running node never adopts a file that is half written or half right. The first
 * fault is a {@link ConfigException} that names the key.
 */
final class NodeConfigValidator {
  private static final List<String> TEXT_KEYS =
      List.of("name", "listen", "mgmt", "runtime", "roster", "index", "seed");

  /** Whether a key may be absent. */
  private enum Presence {
    OPTIONAL,
    REQUIRED
  }

  private NodeConfigValidator() {}

  /** Validates a whole file. */
  static void validate(JsonNode root) {
    validateNode(root);
    JsonNode settings = requireObject(root, "settings");
    validateClasses(settings);
    validateTenants(settings.path("parties"));
    validateExtra(requireObject(settings, "extra"), settings.path("grades").size());
    validateRules(requireObject(settings, "rules"));
    requireNumbers(settings, "", "servers", "over-share-worth", "round-us");
    requireNumbers(settings.path("bounds"), "bounds.", "max-retry-after-us");
    requireFlags(settings.path("bounds"), "bounds.", "retry-after");
    requireFlags(settings.path("clients"), "clients.", "marks-retry");
  }

  private static void validateNode(JsonNode root) {
    for (String key : TEXT_KEYS) {
      if (root.has(key) && !root.path(key).isTextual()) {
        throw ConfigException.invalid(key, "is no text");
      }
    }
    requirePositive(root, "", Presence.OPTIONAL, "stop_ms");
    requirePositive(
        root.path("limits"), "limits.", Presence.OPTIONAL, "cores", "memory_mb", "sockets");
  }

  private static void validateClasses(JsonNode settings) {
    JsonNode classes = settings.path("grades");
    if (!classes.isArray() || classes.isEmpty()) {
      throw ConfigException.invalid("settings", "lack grades");
    }
    requireDistinctNames(classes, "grades");
    for (JsonNode each : classes) {
      requirePositive(each, "grades.", Presence.REQUIRED, "promise-us", "deadline-us");
      boolean idempotent = each.path("effect").asText().equals("token");
      requirePositive(
          each, "grades.", idempotent ? Presence.REQUIRED : Presence.OPTIONAL, "window-us");
      requireNumbers(each, "grades.", "credit", "late-worth", "aim-stretch");
    }
  }

  private static void validateTenants(JsonNode tenants) {
    if (!tenants.isMissingNode() && !tenants.isArray()) {
      throw ConfigException.invalid("parties", "is no list");
    }
    requireDistinctNames(tenants, "parties");
    for (JsonNode tenant : tenants) {
      requireNumbers(tenant, "parties.", "quota-per-s");
    }
  }

  private static void validateExtra(JsonNode extra, int classCount) {
    requirePositive(extra, "extra.", Presence.REQUIRED, "cpus", "mem-limit-kb", "run-factor");
    requireNumbers(
        extra,
        "extra.",
        "key-kb",
        "calls-out",
        "calls-over-us",
        "clients-total",
        "heeded-us",
        "idle-us",
        "lingers-us",
        "share-for-us");
    requireFlags(
        extra, "extra.", "cold", "deep-checks", "passes-deadline", "readiness", "tells-gone");
    JsonNode classCalls = extra.path("class-calls");
    requireOneForEachClass(classCalls, "extra.class-calls", classCount);
    for (JsonNode element : classCalls) {
      requireElementType(element.isBoolean(), "extra.class-calls");
    }
    JsonNode worthWithout = extra.path("worth-without");
    requireOneForEachClass(worthWithout, "extra.worth-without", classCount);
    for (JsonNode element : worthWithout) {
      requireElementType(element.isNumber(), "extra.worth-without");
    }
  }

  private static void validateRules(JsonNode rules) {
    requirePositive(
        rules, "rules.", Presence.REQUIRED, "fall-multiple", "overload-for-us", "answer-slack-us");
    requireNumbers(rules, "rules.", "stop-sending-within-us", "cold-share", "ramp-time-us");
  }

  private static void requireDistinctNames(JsonNode list, String key) {
    Set<String> names = new HashSet<>();
    for (JsonNode element : list) {
      JsonNode name = element.path("name");
      if (!name.isTextual() || name.asText().isEmpty()) {
        throw ConfigException.invalid("an entry of " + key, "has no name");
      }
      if (!names.add(name.asText())) {
        throw ConfigException.invalid(key, "has " + name.asText() + " twice");
      }
    }
  }

  private static JsonNode requireObject(JsonNode parent, String key) {
    if (!parent.path(key).isObject()) {
      throw ConfigException.invalid("the configuration", "lacks " + key);
    }
    return parent.path(key);
  }

  private static void requirePositive(
      JsonNode section, String prefix, Presence presence, String... keys) {
    for (String key : keys) {
      JsonNode value = section.path(key);
      if (value.isMissingNode()) {
        if (presence == Presence.REQUIRED) {
          throw ConfigException.invalid(prefix + key, "is missing");
        }
      } else if (!value.isNumber() || !(value.asDouble() > 0)) {
        throw ConfigException.invalid(prefix + key, "is no number above 0");
      }
    }
  }

  private static void requireNumbers(JsonNode section, String prefix, String... keys) {
    for (String key : keys) {
      JsonNode value = section.path(key);
      if (!value.isMissingNode() && (!value.isNumber() || !(value.asDouble() >= 0))) {
        throw ConfigException.invalid(prefix + key, "is no number of 0 or more");
      }
    }
  }

  private static void requireFlags(JsonNode section, String prefix, String... keys) {
    for (String key : keys) {
      if (section.has(key) && !section.path(key).isBoolean()) {
        throw ConfigException.invalid(prefix + key, "is neither true nor false");
      }
    }
  }

  private static void requireOneForEachClass(JsonNode list, String key, int classCount) {
    if (!list.isMissingNode() && (!list.isArray() || list.size() != classCount)) {
      throw ConfigException.invalid(key, "is no list with one entry for each class");
    }
  }

  private static void requireElementType(boolean holds, String key) {
    if (!holds) {
      throw ConfigException.invalid(key, "has an entry of another type");
    }
  }
}
