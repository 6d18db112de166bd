package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * How a process takes part in a fleet; {@code periodUs} is the failure detector's.
 *
 * @param seeds where others may be met; its own address among them does no harm
 */
public record FleetConfig(
    String name,
    String cluster,
    InetSocketAddress listen,
    InetSocketAddress advertise,
    String zone,
    List<InetSocketAddress> seeds,
    long periodUs) {
  static final String NAME = "[A-Za-z0-9._-]{1,64}";

  /** The section {@code fleet}; null where there is none. */
  static FleetConfig of(JsonNode root, String nodeName) {
    JsonNode section = root.path("fleet");
    if (section.isMissingNode()) {
      return null;
    }
    InetSocketAddress listen =
        NodeConfig.address(section.path("listen").asText(""), "fleet.listen");
    InetSocketAddress advertise =
        NodeConfig.address(section.path("advertise").asText(""), "fleet.advertise");
    if (listen == null) {
      throw new ConfigException("the broker's file lacks fleet.listen");
    }
    if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
      throw new ConfigException(
          "fleet.listen is no address that others can reach: fleet.advertise is needed");
    }
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (JsonNode seed : section.path("seeds")) {
      seeds.add(NodeConfig.address(seed.asText(), "fleet.seeds"));
    }
    return new FleetConfig(
        section.path("name").asText(nodeName),
        section.path("cluster").asText("default"),
        listen,
        advertise == null ? listen : advertise,
        section.path("zone").asText(""),
        List.copyOf(seeds),
        1000 * section.path("period_ms").asLong(1000));
  }

  /** The file of routes that this process publishes; null where it follows the fleet. */
  static Path routes(JsonNode root, Path folder) {
    JsonNode file = root.path("routes").path("file");
    return file.isMissingNode() ? null : folder.resolve(file.asText()).normalize();
  }
}
