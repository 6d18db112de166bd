package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates the types, ranges and names in a node configuration file before any value is read from
 * it, so that a running node never adopts a partially written or partially valid file. The first
 * fault is thrown as a {@link ConfigException} that names the key.
 */
final class NodeConfigValidator {
  private static final List<String> TEXT_KEYS =
      List.of("name", "listen", "mgmt", "runtime", "roster", "index", "seed");

  /** Specifies whether a key may be absent. */
  private enum Presence {
    OPTIONAL,
    REQUIRED
  }

  private NodeConfigValidator() {}

  /** Validates the root object of a file. */
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
        throw ConfigException.invalid(key, "must be a string, got " + root.path(key));
      }
    }
    requirePositive(root, "", Presence.OPTIONAL, "stop_ms");
    requirePositive(
        root.path("limits"), "limits.", Presence.OPTIONAL, "cores", "memory_mb", "sockets");
  }

  private static void validateClasses(JsonNode settings) {
    JsonNode classes = settings.path("grades");
    if (!classes.isArray() || classes.isEmpty()) {
      throw ConfigException.invalid("settings", "must have a non-empty list grades");
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
      throw ConfigException.invalid("parties", "must be a list, got " + tenants.getNodeType());
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
        throw ConfigException.invalid(
            "an entry of " + key, "must have a non-empty string as its name");
      }
      if (!names.add(name.asText())) {
        throw ConfigException.invalid(
            key, "has more than one entry with the name " + name.asText());
      }
    }
  }

  private static JsonNode requireObject(JsonNode parent, String key) {
    if (!parent.path(key).isObject()) {
      throw ConfigException.invalid("node configuration", "must have an object " + key);
    }
    return parent.path(key);
  }

  private static void requirePositive(
      JsonNode section, String prefix, Presence presence, String... keys) {
    for (String key : keys) {
      JsonNode value = section.path(key);
      if (value.isMissingNode()) {
        if (presence == Presence.REQUIRED) {
          throw ConfigException.invalid(prefix + key, "is missing; expected a number above 0");
        }
      } else if (!value.isNumber() || !(value.asDouble() > 0)) {
        throw ConfigException.invalid(prefix + key, "must be a number above 0, got " + value);
      }
    }
  }

  private static void requireNumbers(JsonNode section, String prefix, String... keys) {
    for (String key : keys) {
      JsonNode value = section.path(key);
      if (!value.isMissingNode() && (!value.isNumber() || !(value.asDouble() >= 0))) {
        throw ConfigException.invalid(prefix + key, "must be a number of at least 0, got " + value);
      }
    }
  }

  private static void requireFlags(JsonNode section, String prefix, String... keys) {
    for (String key : keys) {
      if (section.has(key) && !section.path(key).isBoolean()) {
        throw ConfigException.invalid(
            prefix + key, "must be true or false, got " + section.path(key));
      }
    }
  }

  private static void requireOneForEachClass(JsonNode list, String key, int classCount) {
    if (!list.isMissingNode() && (!list.isArray() || list.size() != classCount)) {
      throw ConfigException.invalid(
          key,
          "must be a list with one entry for each of the "
              + classCount
              + " classes, got "
              + list.getNodeType()
              + " with "
              + list.size()
              + " entries");
    }
  }

  private static void requireElementType(boolean holds, String key) {
    if (!holds) {
      throw ConfigException.invalid(key, "has an entry of the wrong type");
    }
  }
}
