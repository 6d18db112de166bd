package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a changed configuration has every key, with a value of the same type, that the one in
 * force has. Else it is cut short or of another kind, and a running node must not adopt it.
 */
final class KeyComparison {
  private KeyComparison() {}

  /**
   * Checks a whole file.
   *
   * @throws ConfigException that names the first key that is missing or of another type
   */
  static void requireSameKeys(JsonNode inForce, JsonNode changed) {
    requireSameKeys(inForce, changed, "");
  }

  private static void requireSameKeys(JsonNode inForce, JsonNode changed, String key) {
    if (inForce.getNodeType() != changed.getNodeType()) {
      throw ConfigException.invalid(
          key, changed.isMissingNode() ? "is missing" : "is of another type than before");
    }
    if (inForce.isObject()) {
      for (Map.Entry<String, JsonNode> entry : inForce.properties()) {
        String childKey = key.isEmpty() ? entry.getKey() : key + "." + entry.getKey();
        requireSameKeys(entry.getValue(), changed.path(entry.getKey()), childKey);
      }
    } else if (inForce.isArray() && !inForce.isEmpty() && inForce.get(0).isObject()) {
      requireKeysInEachElement(inForce, changed, key);
    }
  }

  /** A changed list may have more or fewer elements; each needs the keys that all had before. */
  private static void requireKeysInEachElement(JsonNode inForce, JsonNode changed, String key) {
    JsonNode first = inForce.get(0);
    Set<String> commonKeys = commonKeys(inForce);
    for (JsonNode element : changed) {
      for (String childKey : commonKeys) {
        requireSameKeys(first.path(childKey), element.path(childKey), key + "." + childKey);
      }
    }
  }

  private static Set<String> commonKeys(JsonNode elements) {
    Set<String> common = new HashSet<>();
    elements.get(0).fieldNames().forEachRemaining(common::add);
    elements.forEach(element -> common.removeIf(key -> !element.has(key)));
    return common;
  }
}
