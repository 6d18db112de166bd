package rosecleat.facts;

import java.util.Map;
import java.util.Optional;

/**
 * The settings in force, as far as facts depend on them. A fact that was learned under other
 * settings has another digest and is not used.
 *
 * @param node the node's name
 * @param server digest of the server's settings
 * @param classes digest of each class's settings, by name
 * @param tenants digest of each tenant's settings, by name
 * @param maxValues largest value of a fact that is possible under these settings, by key
 */
public record SettingsDigests(
    String node,
    String server,
    Map<String, String> classes,
    Map<String, String> tenants,
    Map<Fact.Key, Double> maxValues) {
  /** Returns the digest that a fact has to carry; empty where its subject is not configured. */
  public Optional<String> digestOf(FactKind kind, String subject) {
    return switch (kind.subjectType()) {
      case CLASS -> Optional.ofNullable(classes.get(subject));
      case TENANT -> Optional.ofNullable(tenants.get(subject));
      case NODE -> subject.isEmpty() ? Optional.of(server) : Optional.empty();
    };
  }
}
