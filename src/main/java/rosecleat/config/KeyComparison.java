package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a changed configuration contains every key of the configuration in force, with a
 * value of the same type. A file that does not is probably truncated or belongs to something else,
 * and a running node must not adopt it.
 */
final class KeyComparison {
  private KeyComparison() {}

  /**
   * Checks the root objects of both files.
   *
   * @throws ConfigException if a key is missing or has another type; the error names the first one
   */
  static void requireSameKeys(JsonNode inForce, JsonNode changed) {
    requireSameKeys(inForce, changed, "");
  }

  private static void requireSameKeys(JsonNode inForce, JsonNode changed, String key) {
    if (inForce.getNodeType() != changed.getNodeType()) {
      throw ConfigException.invalid(
          key,
          changed.isMissingNode()
              ? "is missing, but the configuration in force has this key"
              : "must have the type "
                  + inForce.getNodeType()
                  + " as in the configuration in force, got "
                  + changed.getNodeType());
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

  /**
   * Checks the elements of a list, whose number may change: each must have the keys that all
   * elements in force have in common.
   */
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
