package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import rosecleat.config.RoutesFile.InstanceEntry;
import rosecleat.config.RoutesFile.InstanceState;

/** Reads a {@link RoutesFile}. */
final class RoutesFileReader {
  private static final String DOCUMENT = "routes file";
  private static final double DEFAULT_WEIGHT = 1;

  private static final Set<String> STATES =
      Stream.of(InstanceState.values())
          .map(state -> state.name().toLowerCase(Locale.ROOT))
          .collect(Collectors.toUnmodifiableSet());

  private final List<InstanceEntry> instances = new ArrayList<>();
  private final List<ConfigError> errors = new ArrayList<>();

  private RoutesFileReader() {}

  /**
   * Reads a routes file.
   *
   * @throws ConfigException if the file cannot be read or is invalid; the error lists all faults
   */
  static RoutesFile read(Path path) {
    YamlFile file = YamlFile.read(DOCUMENT, path, ConfigSchema.ROUTES);
    RoutesFileReader reader = new RoutesFileReader();
    reader.readServices(file.root().path("services"));
    file.requireValid(reader.errors);
    return new RoutesFile(List.copyOf(reader.instances));
  }

  private void readServices(JsonNode services) {
    for (Map.Entry<String, JsonNode> service : services.properties()) {
      JsonNode entries = service.getValue().path("instances");
      for (Map.Entry<String, JsonNode> instance : entries.properties()) {
        readInstance(service.getKey(), instance.getKey(), instance.getValue());
      }
    }
  }

  private void readInstance(String service, String name, JsonNode entry) {
    String url = entry.path("address").asText("");
    if (!url.startsWith(AddressParser.UWSGI_SCHEME)) {
      return; // reported as a violation of the schema
    }
    try {
      InetSocketAddress address =
          AddressParser.parse(
              url.substring(AddressParser.UWSGI_SCHEME.length()),
              "address of " + service + "/" + name);
      instances.add(
          new InstanceEntry(
              service,
              name,
              address,
              entry.path("zone").asText(""),
              entry.path("weight").asDouble(DEFAULT_WEIGHT),
              state(entry.path("state")),
              entry.path("places").asInt(0)));
    } catch (ConfigException e) {
      errors.add(e.error());
    }
  }

  private static InstanceState state(JsonNode value) {
    if (value.isBoolean()) { // YAML parses an unquoted on or off as a boolean
      return value.asBoolean() ? InstanceState.ON : InstanceState.OFF;
    }
    String text = value.asText("on");
    // other values have been reported as violations of the schema
    return STATES.contains(text)
        ? InstanceState.valueOf(text.toUpperCase(Locale.ROOT))
        : InstanceState.ON;
  }
}
