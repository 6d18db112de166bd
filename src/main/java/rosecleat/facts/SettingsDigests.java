package rosecleat.facts;

import java.util.Map;
import java.util.Optional;

/**
 * Digests of the current settings on which facts depend. A fact that was learned under different
 * settings has a different digest and is rejected.
 *
 * @param node name of the node
 * @param server digest of the server's settings
 * @param classes digests of the settings of the request classes, by class name
 * @param tenants digests of the settings of the tenants, by tenant name
 * @param maxValues largest values of facts that are possible under these settings, by key
 */
public record SettingsDigests(
    String node,
    String server,
    Map<String, String> classes,
    Map<String, String> tenants,
    Map<Fact.Key, Double> maxValues) {
  /** Returns the digest that a valid fact carries; empty if its subject is not configured. */
  public Optional<String> digestOf(FactKind kind, String subject) {
    return switch (kind.subjectType()) {
      case CLASS -> Optional.ofNullable(classes.get(subject));
      case TENANT -> Optional.ofNullable(tenants.get(subject));
      case NODE -> subject.isEmpty() ? Optional.of(server) : Optional.empty();
    };
  }
}
