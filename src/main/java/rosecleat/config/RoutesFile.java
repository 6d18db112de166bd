package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The file of routes that a process publishes: all findings at once, or all instances. */
public record RoutesFile(List<Line> instances) {
  private static final String RESOURCE = "/rosecleat/routes.schema.json";
  private static final String UWSGI = "uwsgi://";

  /**
   * One instance of a service; {@code state} is on, drain or off, {@code places} 0 where it is not
   * said.
   */
  public record Line(
      String service,
      String name,
      InetSocketAddress at,
      String zone,
      double weight,
      String state,
      int places) {}

  /** Reads a file. */
  public static RoutesFile read(Path file) {
    try {
      String text = Files.readString(file);
      JsonNode root = new ObjectMapper(new YAMLFactory()).readTree(text);
      if (root == null || !root.isObject()) {
        throw new ConfigException("the file of routes " + file + " has no sections");
      }
      List<String> findings = new ArrayList<>(BrokerSchema.findings(root, text, schema()));
      List<Line> lines = new ArrayList<>();
      root.path("services")
          .properties()
          .forEach(
              service ->
                  service
                      .getValue()
                      .path("instances")
                      .properties()
                      .forEach(
                          instance ->
                              line(
                                  service.getKey(),
                                  instance.getKey(),
                                  instance.getValue(),
                                  lines,
                                  findings)));
      if (!findings.isEmpty()) {
        throw new ConfigException(
            "the file of routes " + file + ": " + String.join("; ", findings));
      }
      return new RoutesFile(List.copyOf(lines));
    } catch (IOException e) {
      throw new ConfigException("cannot read the file of routes " + file);
    }
  }

  private static void line(
      String service, String name, JsonNode i, List<Line> lines, List<String> findings) {
    String address = i.path("address").asText("");
    if (!address.startsWith(UWSGI)) {
      return; // the schema has found that
    }
    try {
      JsonNode state = i.path("state"); // YAML takes a bare on for true
      lines.add(
          new Line(
              service,
              name,
              NodeConfig.address(
                  address.substring(UWSGI.length()), "the address of " + service + "/" + name),
              i.path("zone").asText(""),
              i.path("weight").asDouble(1),
              state.isBoolean() ? state.asBoolean() ? "on" : "off" : state.asText("on"),
              i.path("places").asInt(0)));
    } catch (ConfigException e) {
      findings.add(e.getMessage());
    }
  }

  private static String schema() throws IOException {
    try (InputStream in = RoutesFile.class.getResourceAsStream(RESOURCE)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
