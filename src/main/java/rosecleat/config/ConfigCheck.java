package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Checks a configuration before anything is read from it: types, ranges and names. Guards a node
 * that runs against files that are half written or half right; each fault is a {@link
 * ConfigException} of one line.
 */
final class ConfigCheck {
  private ConfigCheck() {}

  /** A whole file on its own. */
  static void check(JsonNode root) {
    for (String key : List.of("name", "listen", "mgmt", "runtime", "roster", "index", "seed")) {
      if (root.has(key) && !root.path(key).isTextual()) {
        throw new ConfigException(key + " is no text");
      }
    }
    aboveZero(root, "", false, "stop_ms");
    aboveZero(root.path("limits"), "limits.", false, "cores", "memory_mb", "sockets");
    JsonNode settings = object(root, "settings");
    grades(settings);
    parties(settings.path("parties"));
    JsonNode extra = object(settings, "extra");
    aboveZero(extra, "extra.", true, "cpus", "mem-limit-kb", "run-factor");
    numbers(
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
    flags(extra, "extra.", "cold", "deep-checks", "passes-deadline", "readiness", "tells-gone");
    int classes = settings.path("grades").size();
    elements(extra.path("class-calls"), "extra.class-calls", classes, true);
    elements(extra.path("worth-without"), "extra.worth-without", classes, false);
    JsonNode rules = object(settings, "rules");
    aboveZero(rules, "rules.", true, "fall-multiple", "overload-for-us", "answer-slack-us");
    numbers(rules, "rules.", "stop-sending-within-us", "cold-share", "ramp-time-us");
    numbers(settings, "", "servers", "over-share-worth", "round-us");
    numbers(settings.path("bounds"), "bounds.", "max-retry-after-us");
    flags(settings.path("bounds"), "bounds.", "retry-after");
    flags(settings.path("clients"), "clients.", "marks-retry");
  }

  /**
   * That a file has every key, of the same type, that the one in force has: else it is cut, or of
   * another kind.
   */
  static void sameKeys(JsonNode before, JsonNode fresh, String where) {
    if (kind(before) != kind(fresh)) {
      throw new ConfigException(
          where + (fresh.isMissingNode() ? " is missing" : " is of another type than before"));
    }
    if (before.isObject()) {
      before
          .properties()
          .forEach(
              e ->
                  sameKeys(
                      e.getValue(),
                      fresh.path(e.getKey()),
                      where.isEmpty() ? e.getKey() : where + "." + e.getKey()));
    } else if (before.isArray() && !before.isEmpty() && before.get(0).isObject()) {
      Set<String> common = new HashSet<>();
      before.get(0).fieldNames().forEachRemaining(common::add);
      before.forEach(element -> common.removeIf(key -> !element.has(key)));
      for (JsonNode element : fresh) {
        for (String key : common) {
          sameKeys(before.get(0).path(key), element.path(key), where + "." + key);
        }
      }
    }
  }

  private static Object kind(JsonNode node) {
    return node.getNodeType();
  }

  private static void grades(JsonNode settings) {
    JsonNode grades = settings.path("grades");
    if (!grades.isArray() || grades.isEmpty()) {
      throw new ConfigException("settings lack grades");
    }
    names(grades, "grades");
    for (JsonNode grade : grades) {
      aboveZero(grade, "grades.", true, "promise-us", "deadline-us");
      aboveZero(grade, "grades.", grade.path("effect").asText().equals("token"), "window-us");
      numbers(grade, "grades.", "credit", "late-worth", "aim-stretch");
    }
  }

  private static void parties(JsonNode parties) {
    if (!parties.isMissingNode() && !parties.isArray()) {
      throw new ConfigException("parties is no list");
    }
    names(parties, "parties");
    parties.forEach(party -> numbers(party, "parties.", "quota-per-s"));
  }

  private static void names(JsonNode list, String where) {
    Set<String> seen = new HashSet<>();
    for (JsonNode each : list) {
      if (!each.path("name").isTextual() || each.path("name").asText().isEmpty()) {
        throw new ConfigException("an entry of " + where + " has no name");
      }
      if (!seen.add(each.path("name").asText())) {
        throw new ConfigException(where + " has " + each.path("name").asText() + " twice");
      }
    }
  }

  private static JsonNode object(JsonNode in, String key) {
    if (!in.path(key).isObject()) {
      throw new ConfigException("the configuration lacks " + key);
    }
    return in.path(key);
  }

  private static void aboveZero(JsonNode in, String where, boolean needed, String... keys) {
    for (String key : keys) {
      JsonNode value = in.path(key);
      if (value.isMissingNode() ? needed : !value.isNumber() || !(value.asDouble() > 0)) {
        throw new ConfigException(
            where + key + (value.isMissingNode() ? " is missing" : " is no number above 0"));
      }
    }
  }

  private static void numbers(JsonNode in, String where, String... keys) {
    for (String key : keys) {
      JsonNode value = in.path(key);
      if (!value.isMissingNode() && (!value.isNumber() || !(value.asDouble() >= 0))) {
        throw new ConfigException(where + key + " is no number of 0 or more");
      }
    }
  }

  private static void flags(JsonNode in, String where, String... keys) {
    for (String key : keys) {
      if (in.has(key) && !in.path(key).isBoolean()) {
        throw new ConfigException(where + key + " is neither true nor false");
      }
    }
  }

  private static void elements(JsonNode list, String where, int size, boolean flags) {
    if (list.isMissingNode()) {
      return;
    }
    if (!list.isArray() || list.size() != size) {
      throw new ConfigException(where + " is no list with one entry for each class");
    }
    for (Iterator<JsonNode> each = list.elements(); each.hasNext(); ) {
      JsonNode value = each.next();
      if (flags ? !value.isBoolean() : !value.isNumber()) {
        throw new ConfigException(where + " has an entry of another type");
      }
    }
  }
}
