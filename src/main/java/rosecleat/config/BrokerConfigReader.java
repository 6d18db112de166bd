package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;

/** Reads a {@link BrokerConfig} from a broker file and the files that it refers to. */
public final class BrokerConfigReader {
  private static final int DEFAULT_MAX_CONNECTIONS = 128;

  private static final int DEFAULT_SAVE_INTERVAL_MS = 1_000;
  private static final int DEFAULT_STATE_MIB = 16;
  private static final int DEFAULT_HALF_LIFE_SECONDS = 600;

  private final Path folder;
  private final JsonNode root;
  private final NamedSettings nodeSettings;

  private BrokerConfigReader(Path folder, JsonNode root, NamedSettings nodeSettings) {
    this.folder = folder;
    this.root = root;
    this.nodeSettings = nodeSettings;
  }

  /**
   * Reads a broker file.
   *
   * @param file the broker file; relative paths in it are resolved against its folder
   * @param nodeSettings the node's settings, which contracts and budgets extend by classes and
   *     tenants
   * @throws ConfigException if a file cannot be read or is invalid
   */
  public static BrokerConfig read(Path file, NamedSettings nodeSettings) {
    JsonNode root = BrokerFile.read(file);
    return new BrokerConfigReader(file.toAbsolutePath().getParent(), root, nodeSettings).read();
  }

  private BrokerConfig read() {
    JsonNode uwsgi = root.path("uwsgi");
    InetSocketAddress listenAddress = listenAddress(uwsgi);
    FleetConfig fleet = FleetConfig.read(root, root.path("name").asText(BrokerFile.DEFAULT_NAME));
    OperationsReader operationsReader =
        new OperationsReader(
            DescriptionsReader.read(root.path("descriptions"), folder),
            nodeSettings,
            fleet != null || root.has("routes"));
    List<ServiceOperation> operations = operationsReader.read(root.path("services"));
    return new BrokerConfig(
        listenAddress,
        BrokerFile.positiveInt(uwsgi, "connections", DEFAULT_MAX_CONNECTIONS),
        UwsgiSectionReader.limits(uwsgi.path("limits")),
        UwsgiSectionReader.variables(uwsgi.path("vars")),
        operations,
        operationsReader.extendedSettings(),
        state(),
        fleet,
        routes(),
        localCapacity());
  }

  private static InetSocketAddress listenAddress(JsonNode uwsgi) {
    InetSocketAddress address =
        AddressParser.parse(uwsgi.path("listen").asText(""), "uwsgi.listen");
    if (address == null) {
      throw BrokerFile.invalid("lacks uwsgi.listen, the address of the uwsgi frontend");
    }
    return address;
  }

  private StateConfig state() {
    JsonNode section = root.path("state");
    if (section.isMissingNode()) {
      return null;
    }
    int maxMib = BrokerFile.positiveInt(section, "max_mb", DEFAULT_STATE_MIB);
    int halfLifeSeconds = BrokerFile.positiveInt(section, "half_life_s", DEFAULT_HALF_LIFE_SECONDS);
    return new StateConfig(
        folder.resolve(section.path("folder").asText()).normalize(),
        BrokerFile.microseconds(section, "every_ms", DEFAULT_SAVE_INTERVAL_MS),
        (long) maxMib << Units.BYTES_PER_MIB_SHIFT,
        halfLifeSeconds * Units.MICROSECONDS_PER_SECOND);
  }

  private RoutesFile routes() {
    JsonNode file = root.path("routes").path("file");
    return file.isMissingNode()
        ? null
        : RoutesFileReader.read(folder.resolve(file.asText()).normalize());
  }

  /**
   * Returns the capacity of the services that do not use routes; empty if a platform or the file
   * configures the number of cores, or if no service uses routes.
   */
  private OptionalInt localCapacity() {
    if (!nodeSettings.classNames().isEmpty() || root.path("limits").has("cores")) {
      return OptionalInt.empty();
    }
    int localServices = 0;
    int routedServices = 0;
    for (JsonNode service : root.path("services")) {
      if (service.path("backend").asText().equals(OperationsReader.FLEET_BACKEND)) {
        routedServices++;
      } else {
        localServices++;
      }
    }
    return routedServices == 0
        ? OptionalInt.empty()
        : OptionalInt.of(localServices * StandaloneConfig.CORES_PER_SERVICE);
  }
}
