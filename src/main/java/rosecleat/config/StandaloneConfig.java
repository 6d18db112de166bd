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
 * Creates the configuration of a node without a platform from the broker file alone. The contracts
 * and budgets define its classes and tenants; its services are its only downstream dependencies.
 */
public final class StandaloneConfig {
  /** Default number of concurrently executed requests, per service. */
  static final int CORES_PER_SERVICE = 4;

  private static final long DEFAULT_MEMORY_MB = 256;
  private static final int DEFAULT_MAX_SOCKETS = 1024;
  private static final long DEFAULT_STOP_TIMEOUT_MS = 5_000;

  /** Requests may use a quarter of the process's memory; in kilobytes per megabyte. */
  private static final double REQUEST_MEMORY_KB_PER_MB = 1024 / 4.0;

  private static final int SERVERS = 1;

  /** 0 means that the number of callers is unknown. */
  private static final int UNKNOWN_CALLERS = 0;

  private static final double COLD_CAPACITY = 1;
  private static final double RUN_MEMORY_FACTOR = 2;
  private static final double IDEMPOTENCY_KEY_KB = 16;
  private static final double OVERLOAD_MULTIPLE = 8;
  private static final long OVERLOAD_DURATION_US = 2 * Units.MICROSECONDS_PER_SECOND;
  private static final long DRAIN_GRACE_PERIOD_US = Units.MICROSECONDS_PER_SECOND;
  private static final long DEADLINE_SLACK_US = 80 * Units.MICROSECONDS_PER_MS;
  private static final double OVER_QUOTA_WEIGHT = 0.2;
  private static final long MAX_RETRY_AFTER_US = Units.MICROSECONDS_PER_SECOND;
  private static final long IDLE_TIMEOUT_US = 30 * Units.MICROSECONDS_PER_SECOND;
  private static final long ROUND_TRIP_US = Units.MICROSECONDS_PER_MS;

  private static final long HASH_START = 1_125_899_906_842_597L;
  private static final long HASH_FACTOR = 31;

  private StandaloneConfig() {}

  /**
   * Reads the node's configuration from a broker file.
   *
   * @throws ConfigException if the file cannot be read or is invalid
   */
  public static NodeConfig read(Path file) {
    JsonNode root = BrokerFile.read(file);
    JsonNode limits = root.path("limits");
    String fleetName = root.path("fleet").path("name").asText(BrokerFile.DEFAULT_NAME);
    String name = root.path("name").asText(fleetName);
    InetSocketAddress adminAddress =
        AddressParser.parse(root.path("operators").path("listen").asText(""), "operators.listen");
    return new NodeConfig(
        name,
        null,
        adminAddress,
        null,
        null,
        null,
        seed(name),
        limits.path("stop_ms").asLong(DEFAULT_STOP_TIMEOUT_MS) * Units.MICROSECONDS_PER_MS,
        (int) limits.path("sockets").asLong(DEFAULT_MAX_SOCKETS),
        new NamedSettings(
            policySettings(cores(root), requestMemoryKb(limits)), List.of(), List.of(), List.of()),
        JsonNodeFactory.instance.objectNode());
  }

  private static int cores(JsonNode root) {
    int services = Math.max(1, root.path("services").size());
    return root.path("limits").path("cores").asInt(CORES_PER_SERVICE * services);
  }

  private static double requestMemoryKb(JsonNode limits) {
    return limits.path("memory_mb").asLong(DEFAULT_MEMORY_MB) * REQUEST_MEMORY_KB_PER_MB;
  }

  private static PolicySettings policySettings(int cores, double memoryKb) {
    return new PolicySettings(
        cores,
        SERVERS,
        UNKNOWN_CALLERS,
        /* coldStart= */ false,
        COLD_CAPACITY,
        /* warmupUs= */ 0,
        memoryKb,
        RUN_MEMORY_FACTOR,
        IDEMPOTENCY_KEY_KB,
        OVERLOAD_MULTIPLE,
        OVERLOAD_DURATION_US,
        DRAIN_GRACE_PERIOD_US,
        DEADLINE_SLACK_US,
        /* propagatesDeadline= */ true,
        /* signalsCancellation= */ true,
        /* marksRetries= */ true,
        /* weightByWork= */ false,
        OVER_QUOTA_WEIGHT,
        CancelMode.DROP,
        LoadAdviceMode.OFF,
        /* adviceHeededUs= */ 0,
        MAX_RETRY_AFTER_US,
        /* readinessChecks= */ false,
        /* deepChecks= */ false,
        IDLE_TIMEOUT_US,
        /* readSharingUs= */ 0,
        DownstreamMode.OFF,
        /* concurrentCalls= */ 0,
        /* callWindowUs= */ 0,
        /* callLingerUs= */ 0,
        ROUND_TRIP_US,
        List.of(),
        List.of());
  }

  /**
   * Returns a seed derived from the name: it differs between names and is the same at each start.
   */
  private static long seed(String name) {
    long seed = HASH_START;
    for (int i = 0; i < name.length(); i++) {
      seed = HASH_FACTOR * seed + name.charAt(i);
    }
    return seed;
  }
}
