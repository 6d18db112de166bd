package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import rosecleat.policy.CancelMode;
import rosecleat.policy.DownstreamMode;
import rosecleat.policy.LoadAdviceMode;
import rosecleat.policy.PolicySettings;

/**
 * The configuration of a broker that no platform starts: all of it stands in the broker's own file.
 * Its classes and tenants are those of its contracts and budgets; nothing lies below it but its
 * services.
 */
public final class Standalone {
  /** Runs at once where nothing says how many: so many for each service, so many at the least. */
  static final int CORES = 4;

  private static final long MEMORY_MB = 256;
  private static final long SOCKETS = 1024;
  private static final long STOP_MS = 5_000;

  /** Memory for requests held and run: a part of the process's (KB per MB). */
  private static final double HELD_PART = 1024 / 4.0;

  private Standalone() {}

  /** What a node is told by a broker's file alone. */
  public static NodeConfig read(Path file) {
    return of(BrokerConfig.text(file));
  }

  static NodeConfig of(JsonNode root) {
    JsonNode limits = root.path("limits");
    String name = root.path("name").asText(root.path("fleet").path("name").asText("broker"));
    InetSocketAddress operators =
        NodeConfig.address(root.path("operators").path("listen").asText(""), "operators.listen");
    int cores = limits.path("cores").asInt(CORES * Math.max(1, root.path("services").size()));
    double heldKb = limits.path("memory_mb").asLong(MEMORY_MB) * HELD_PART;
    PolicySettings settings =
        new PolicySettings(
            cores,
            1,
            0,
            false,
            1,
            0,
            heldKb,
            2,
            16,
            8,
            2_000_000,
            1_000_000,
            80_000,
            true,
            true,
            true,
            false,
            0.2,
            CancelMode.DROP,
            LoadAdviceMode.OFF,
            0,
            1_000_000,
            false,
            false,
            30_000_000,
            0,
            DownstreamMode.OFF,
            0,
            0,
            0,
            1_000,
            List.of(),
            List.of());
    return new NodeConfig(
        name,
        null,
        operators,
        null,
        null,
        null,
        seed(name),
        limits.path("stop_ms").asLong(STOP_MS) * 1000,
        (int) limits.path("sockets").asLong(SOCKETS),
        new SettingsReader.Start(settings, List.of(), List.of(), List.of()),
        JsonNodeFactory.instance.objectNode());
  }

  /** Differs between processes, and is the same whenever one starts. */
  private static long seed(String name) {
    long seed = 1_125_899_906_842_597L;
    for (int i = 0; i < name.length(); i++) {
      seed = 31 * seed + name.charAt(i);
    }
    return seed;
  }
}
