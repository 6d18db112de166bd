package rosecleat.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import rosecleat.fleet.MembershipView;
import rosecleat.routes.Instance;

/**
 * The JSON documents about the fleet and its routes that the admin server returns, encoded in
 * ASCII.
 */
final class FleetDocuments {
  /** The path of the document about the fleet's members. */
  static final String FLEET_PATH = "/v1/fleet";

  /** The path of the document about the routes in force. */
  static final String ROUTES_PATH = "/v1/routes";

  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

  private FleetDocuments() {}

  /**
   * Returns the document about the fleet's members.
   *
   * @param routesDigestOf returns the digest of the routes in force at the named member; empty text
   *     if it is unknown
   */
  static String fleet(MembershipView view, Function<String, String> routesDigestOf) {
    ObjectNode root = JSON.createObjectNode();
    root.put("self", view.self().name())
        .put("settled", view.settled())
        .put("digest", DigestText.hex(view.digest()));
    ArrayNode members = root.putArray("members");
    for (MembershipView.MemberInfo member : view.members()) {
      members
          .addObject()
          .put("name", member.id().name())
          .put("zone", member.zone())
          .put("state", member.state().name().toLowerCase(Locale.ROOT))
          .put("epoch", member.id().epoch())
          .put("incarnation", member.incarnation())
          .put("routes", routesDigestOf.apply(member.id().name()));
    }
    return write(root);
  }

  /** Returns the document about the routes in force. */
  static String routes(ActiveRoutes.Snapshot active) {
    ObjectNode root = JSON.createObjectNode();
    root.put("generation", active.generation())
        .put("digest", DigestText.hex(active.table().digest()));
    ObjectNode services = root.putObject("services");
    active
        .table()
        .services()
        .forEach(
            (service, instances) ->
                putInstances(services.putObject(service).putObject("instances"), instances));
    return write(root);
  }

  private static void putInstances(ObjectNode target, Map<String, Instance> instances) {
    instances.forEach(
        (name, instance) -> {
          ObjectNode node =
              target
                  .putObject(name)
                  .put("address", "uwsgi://" + instance.host() + ":" + instance.port())
                  .put("zone", instance.zone())
                  .put("weight", instance.weight())
                  .put("state", instance.state().name().toLowerCase(Locale.ROOT));
          if (instance.capacity() > 0) {
            node.put("places", instance.capacity());
          }
        });
  }

  private static String write(ObjectNode root) {
    try {
      return JSON.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e); // a tree of strings and numbers can always be serialized
    }
  }
}
