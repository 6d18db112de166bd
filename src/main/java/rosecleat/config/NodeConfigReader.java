package rosecleat.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Reads the node configuration of a platform: a JSON file and environment variables. */
public final class NodeConfigReader {
  /** Environment variable that contains the path of the configuration file. */
  public static final String CONFIG_VARIABLE = "PROXY_CONFIG";

  private static final String NAME_VARIABLE = "PROXY_NAME";
  private static final String LISTEN_VARIABLE = "PROXY_LISTEN";
  private static final String ADMIN_VARIABLE = "PROXY_MGMT";

  private static final String DOCUMENT = "node configuration";
  private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";
  private static final String DEFAULT_SEED = "0";
  private static final int HEXADECIMAL = 16;
  private static final int DEFAULT_MAX_SOCKETS = 1024;
  private static final long DEFAULT_STOP_TIMEOUT_MS = 3_000;

  private static final ObjectMapper STRICT_JSON =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

  private NodeConfigReader() {}

  /**
   * Reads the file that PROXY_CONFIG refers to. PROXY_NAME, PROXY_LISTEN and PROXY_MGMT supply
   * defaults for keys that the file omits.
   *
   * @throws ConfigException if the file cannot be read or is invalid
   */
  public static NodeConfig fromEnvironment(Map<String, String> environment) {
    String path = environment.get(CONFIG_VARIABLE);
    if (path == null || path.isBlank()) {
      throw ConfigException.invalid(
          CONFIG_VARIABLE,
          "is not set; set it to the path of the node configuration, or give a broker file with"
              + " --broker");
    }
    String text;
    try {
      text = Files.readString(Path.of(path));
    } catch (IOException | RuntimeException e) {
      throw new ConfigException(new ConfigError.UnreadableFile(DOCUMENT, path));
    }
    return parse(text, environment);
  }

  /**
   * Reads a configuration from its text; the environment supplies defaults for omitted keys.
   *
   * @throws ConfigException if the configuration is invalid
   */
  public static NodeConfig parse(String text, Map<String, String> environment) {
    JsonNode root = parseObject(text);
    NodeConfigValidator.validate(root);
    String name = name(root, environment);
    InetSocketAddress listenAddress = listenAddress(root, environment);
    return new NodeConfig(
        name,
        listenAddress,
        address(root, "mgmt", environment.getOrDefault(ADMIN_VARIABLE, "")),
        address(root, "runtime", ""),
        address(root, "roster", ""),
        address(root, "index", ""),
        seed(root),
        stopTimeoutUs(root),
        maxSockets(root),
        new SettingsReader().read(root.path("settings").toString()),
        root);
  }

  private static JsonNode parseObject(String text) {
    JsonNode root;
    try {
      root = STRICT_JSON.readTree(text);
    } catch (JacksonException e) {
      throw ConfigException.invalid(DOCUMENT, "is not valid JSON");
    }
    if (root == null || !root.isObject()) {
      throw ConfigException.invalid(DOCUMENT, "is not a JSON object");
    }
    return root;
  }

  private static String name(JsonNode root, Map<String, String> environment) {
    String name = root.path("name").asText(environment.getOrDefault(NAME_VARIABLE, ""));
    if (!name.matches(NAME_PATTERN)) {
      throw ConfigException.invalid(
          DOCUMENT,
          "needs a name (key name or PROXY_NAME) of the form "
              + NAME_PATTERN
              + ", got \""
              + name
              + "\"");
    }
    return name;
  }

  private static InetSocketAddress listenAddress(JsonNode root, Map<String, String> environment) {
    InetSocketAddress address =
        address(root, "listen", environment.getOrDefault(LISTEN_VARIABLE, ""));
    if (address == null) {
      throw ConfigException.invalid(
          DOCUMENT, "lacks an address to listen on (key listen or PROXY_LISTEN)");
    }
    return address;
  }

  private static InetSocketAddress address(JsonNode root, String key, String defaultText) {
    return AddressParser.parse(root.path(key).asText(defaultText), key);
  }

  private static long seed(JsonNode root) {
    try {
      return Long.parseUnsignedLong(root.path("seed").asText(DEFAULT_SEED), HEXADECIMAL);
    } catch (NumberFormatException e) {
      throw ConfigException.invalid(
          "seed",
          "must be a hexadecimal number of at most 64 bits, got " + root.path("seed").asText());
    }
  }

  private static long stopTimeoutUs(JsonNode root) {
    long timeoutMs = root.path("stop_ms").asLong(DEFAULT_STOP_TIMEOUT_MS);
    return positiveInt(timeoutMs, "stop_ms") * Units.MICROSECONDS_PER_MS;
  }

  private static int maxSockets(JsonNode root) {
    long sockets = root.path("limits").path("sockets").asLong(DEFAULT_MAX_SOCKETS);
    return positiveInt(sockets, "limits.sockets");
  }

  private static int positiveInt(long value, String key) {
    if (value <= 0 || value > Integer.MAX_VALUE) {
      throw ConfigException.invalid(
          key, "must be from 1 to " + Integer.MAX_VALUE + ", got " + value);
    }
    return (int) value;
  }
}
