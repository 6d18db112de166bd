package rosecleat.facts;

import java.util.Map;

/**
 * The settings that facts are judged by.
 *
 * @param node the node's name
 * @param server a digest of the server's figures
 * @param classes a digest of each class's figures, by name
 * @param tenants a digest of each tenant's figures, by name
 * @param ceilings values that can't hold under these settings begin above these
 */
public record Terms(
    String node,
    String server,
    Map<String, String> classes,
    Map<String, String> tenants,
    Map<Fact.Name, Double> ceilings) {
  /** The digest that a fact would have to carry; null where its subject is not known. */
  public String of(Kind kind, String subject) {
    return switch (kind.of()) {
      case CLASS -> classes.get(subject);
      case TENANT -> tenants.get(subject);
      case NODE -> subject.isEmpty() ? server : null;
    };
  }
}
