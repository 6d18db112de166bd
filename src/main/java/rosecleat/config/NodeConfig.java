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
import java.util.Objects;

/**
 * What one card node is told at its start.
 *
 * <p>{@code listen} is null where no platform's balancers come; {@code mgmt}, {@code roster},
 * {@code index} and {@code runtime} are null where the file does not name them; {@code file} is
 * what was read.
 */
public record NodeConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress mgmt,
    InetSocketAddress runtime,
    InetSocketAddress roster,
    InetSocketAddress index,
    long seed,
    long stopUs,
    int sockets,
    SettingsReader.Start start,
    JsonNode file) {
  private static final ObjectMapper STRICT =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
  private static final int DEFAULT_SOCKETS = 1024;
  private static final long DEFAULT_STOP_MS = 3_000;

  /**
   * Reads the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and PROXY_MGMT stand in for
   * what it lacks.
   */
  public static NodeConfig fromEnvironment(Map<String, String> env) {
    String path = env.get("PROXY_CONFIG");
    if (path == null || path.isBlank()) {
      throw new ConfigException("PROXY_CONFIG is not set");
    }
    String text;
    try {
      text = Files.readString(Path.of(path));
    } catch (IOException | RuntimeException e) {
      throw new ConfigException("cannot read the configuration " + path);
    }
    return parse(text, env);
  }

  /** Reads a configuration from its text. */
  public static NodeConfig parse(String text, Map<String, String> env) {
    JsonNode root;
    try {
      root = STRICT.readTree(text);
    } catch (JacksonException e) {
      throw new ConfigException("the configuration is not JSON");
    }
    if (root == null || !root.isObject()) {
      throw new ConfigException("the configuration is not a JSON object");
    }
    ConfigCheck.check(root);
    String name = root.path("name").asText(env.getOrDefault("PROXY_NAME", ""));
    if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
      throw new ConfigException("the configuration lacks a usable name");
    }
    InetSocketAddress listen =
        address(root.path("listen").asText(env.getOrDefault("PROXY_LISTEN", "")), "listen");
    if (listen == null) {
      throw new ConfigException("the configuration lacks listen");
    }
    InetSocketAddress mgmt =
        address(root.path("mgmt").asText(env.getOrDefault("PROXY_MGMT", "")), "mgmt");
    JsonNode settings = root.path("settings");
    if (!settings.isObject()) {
      throw new ConfigException("the configuration lacks settings");
    }
    return new NodeConfig(
        name,
        listen,
        mgmt,
        address(root.path("runtime").asText(""), "runtime"),
        address(root.path("roster").asText(""), "roster"),
        address(root.path("index").asText(""), "index"),
        seed(root.path("seed").asText("0")),
        positive(root.path("stop_ms").asLong(DEFAULT_STOP_MS), "stop_ms") * 1000,
        (int)
            positive(root.path("limits").path("sockets").asLong(DEFAULT_SOCKETS), "limits.sockets"),
        new SettingsReader().read(settings.toString()),
        root);
  }

  /**
   * Checks that this configuration may take the place of another in a running process: it has every
   * key that the other has, and what needs a restart is the same.
   */
  public void checkAfter(NodeConfig before) {
    ConfigCheck.sameKeys(before.file, file, "");
    if (!name.equals(before.name)
        || !Objects.equals(listen, before.listen)
        || !Objects.equals(mgmt, before.mgmt)
        || (runtime == null) != (before.runtime == null)) {
      throw new ConfigException(
          "its name, where it listens and whether it has a runtime need a restart");
    }
  }

  private static long positive(long value, String what) {
    if (value <= 0 || value > Integer.MAX_VALUE) {
      throw new ConfigException(what + " is out of range");
    }
    return value;
  }

  private static long seed(String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new ConfigException("seed is not a hexadecimal number of 64 bits");
    }
  }

  /** An address written {@code host:port} with a literal host; null where the text is empty. */
  static InetSocketAddress address(String text, String what) {
    if (text.isEmpty()) {
      return null;
    }
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      String host = text.substring(0, colon);
      if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]|localhost")) {
        throw new ConfigException(
            what + " is not a literal address: " + text); // there is no name service
      }
      return new InetSocketAddress(host, port);
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      throw new ConfigException(what + " is not host:port: " + text);
    }
  }
}
