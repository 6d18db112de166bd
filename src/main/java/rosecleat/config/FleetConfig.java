package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of fleet membership, from the section {@code fleet} of the broker file.
 *
 * @param name the name of this member; default: the name of the node
 * @param cluster the name of the fleet; default {@code default}. Messages of other fleets are
 *     ignored
 * @param listen the address on which this process receives fleet messages
 * @param advertise the address that other members use for this process; default {@code listen}
 * @param zone the failure domain of this process; empty if it has none
 * @param seeds addresses of members to contact first; may include the address of this process
 * @param periodUs the protocol period of the failure detector, in microseconds; default 1 s
 */
public record FleetConfig(
    String name,
    String cluster,
    InetSocketAddress listen,
    InetSocketAddress advertise,
    String zone,
    List<InetSocketAddress> seeds,
    long periodUs) {
  private static final long DEFAULT_PERIOD_MS = 1000;

  /** Reads the section {@code fleet} of a broker file; returns null if the section is absent. */
  static FleetConfig read(JsonNode root, String nodeName) {
    JsonNode section = root.path("fleet");
    if (section.isMissingNode()) {
      return null;
    }
    InetSocketAddress listen = address(section, "listen");
    InetSocketAddress advertise = address(section, "advertise");
    if (listen == null) {
      throw ConfigException.invalid(
          "broker file", "lacks fleet.listen, the address for fleet messages");
    }
    if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
      throw ConfigException.invalid(
          "fleet.listen",
          "is a wildcard address, which other members cannot reach: fleet.advertise is needed");
    }
    return new FleetConfig(
        section.path("name").asText(nodeName),
        section.path("cluster").asText("default"),
        listen,
        advertise == null ? listen : advertise,
        section.path("zone").asText(""),
        seeds(section),
        Units.MICROSECONDS_PER_MS * section.path("period_ms").asLong(DEFAULT_PERIOD_MS));
  }

  private static InetSocketAddress address(JsonNode section, String key) {
    return AddressParser.parse(section.path(key).asText(""), "fleet." + key);
  }

  private static List<InetSocketAddress> seeds(JsonNode section) {
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (JsonNode seed : section.path("seeds")) {
      seeds.add(AddressParser.parse(seed.asText(), "fleet.seeds"));
    }
    return List.copyOf(seeds);
  }
}
