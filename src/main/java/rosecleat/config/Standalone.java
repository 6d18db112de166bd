package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import rosecleat.policy.PolicyApi.Below;
import rosecleat.policy.PolicyApi.Halt;
import rosecleat.policy.PolicyApi.Say;
import rosecleat.policy.PolicyApi.Settings;

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
    Settings settings =
        new Settings(
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
            Halt.DROP,
            Say.OFF,
            0,
            1_000_000,
            false,
            false,
            30_000_000,
            0,
            Below.OFF,
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

  /**
   * The same where so many requests are worked on at once: the places of the instances in force,
   * not cores of ours.
   */
  public static Settings with(Settings s, int cores) {
    return new Settings(
        cores,
        s.servers(),
        s.callers(),
        s.cold(),
        s.coldShare(),
        s.warmUs(),
        s.memoryKb(),
        s.runFactor(),
        s.keyKb(),
        s.fallMultiple(),
        s.fallSpanUs(),
        s.graceUs(),
        s.slackUs(),
        s.passesDeadline(),
        s.tellsGone(),
        s.marksRetry(),
        s.worthByWork(),
        s.overShareWorth(),
        s.halt(),
        s.say(),
        s.heededUs(),
        s.maxHoldOffUs(),
        s.readiness(),
        s.deepChecks(),
        s.idleUs(),
        s.shareReadsUs(),
        s.below(),
        s.callsOut(),
        s.callsSpanUs(),
        s.callLingerUs(),
        s.roundUs(),
        s.classes(),
        s.tenants());
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
