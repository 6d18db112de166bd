package rosecleat.config;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reads a platform's node configuration, and checks the error for each kind of fault. */
class NodeConfigReaderTest {
  private static String example() throws IOException {
    return Files.readString(Path.of("deploy/example.json"));
  }

  private static NodeConfig parse(String text) {
    return NodeConfigReader.parse(text, Map.of());
  }

  @Test
  void exampleFileIsReadWithAddressesTimesAndNames() throws IOException {
    NodeConfig config = parse(example());
    assertEquals("example", config.name());
    assertEquals(7001, config.listenAddress().getPort());
    assertEquals(4400, config.runtimeAddress().getPort());
    assertEquals(8500, config.registryAddress().getPort());
    assertEquals(5432, config.indexAddress().getPort());
    assertEquals(0x1f, config.seed());
    assertEquals(4_000_000, config.stopTimeoutUs());
    assertEquals(1024, config.maxSockets());
    assertEquals("card-load", config.settings().classNames().get(3));
    assertEquals("northgate-cafe", config.settings().tenantNames().get(4));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      textBlock =
          """
          "stop_ms": 4000         | "stop_ms": 0            | stop_ms must be a number above 0, got 0
          "runtime": "127         | "runtime": "x127        | runtime must be host:port, where host is an IPv4 address, an IPv6 address in brackets or localhost, got x127.0.0.1:4400
          "listen": "127.0.0.1:   | "listen": "127.0.0.1    | listen must be host:port with a port from 0 to 65535, got 127.0.0.17001
          "seed": "1f"            | "seed": "zz"            | seed must be a hexadecimal number of at most 64 bits, got zz
          "seed": "1f"            | "seed": 31              | seed must be a string, got 31
          "name": "example"       | "name": "ex ample"      | node configuration needs a name (key name or PROXY_NAME) of the form [A-Za-z0-9._-]{1,64}, got "ex ample"
          "settings"              | "setings"               | node configuration must have an object settings
          "grades"                | "grapes"                | settings must have a non-empty list grades
          "card-status"           | "card-load"             | grades has more than one entry with the name card-load
          "cpus": 6,              | `` | extra.cpus is missing; expected a number above 0
          "cpus": 6               | "cpus": "6"             | extra.cpus must be a number above 0, got "6"
          "key-kb": 100           | "key-kb": -1            | extra.key-kb must be a number of at least 0, got -1
          "cold": false           | "cold": 0               | extra.cold must be true or false, got 0
          [0.3, 0, 0.3, 0]        | [0.3, 0, 0.3]           | extra.worth-without must be a list with one entry for each of the 4 classes, got ARRAY with 3 entries
          [true, false            | [true, 1                | extra.class-calls has an entry of the wrong type
          "token"                 | "tokens"                | settings have the unknown value tokens for effect, expected one of [pure, side_effect, token]
          "drop"                  | "stop"                  | settings have the unknown value stop for halt, expected one of [drop, off, pause]
          """)
  void invalidValueIsRejectedWithItsKeyAndExpectedForm(String from, String into, String message)
      throws IOException {
    String text = example();
    String changed = text.replace(from, into == null ? "" : into);
    assertEquals(
        false, changed.equals(text), "the example file does not contain the text to replace");
    assertEquals(message, assertThrows(ConfigException.class, () -> parse(changed)).getMessage());
  }

  @Test
  void environmentSuppliesDefaultsForOmittedKeys() throws IOException {
    String text =
        example()
            .replace("\"name\": \"example\",", "")
            .replace("\"listen\": \"127.0.0.1:7001\",", "");
    Map<String, String> environment =
        Map.of("PROXY_NAME", "n1", "PROXY_LISTEN", "127.0.0.1:9", "PROXY_MGMT", "127.0.0.1:10");
    NodeConfig config = NodeConfigReader.parse(text, environment);
    assertEquals("n1", config.name());
    assertEquals(9, config.listenAddress().getPort());
    assertEquals(10, config.adminAddress().getPort());
  }

  @Test
  void runningNodeAdoptsChangedValuesButRejectsMissingKeysAndChangedListenAddress()
      throws IOException {
    NodeConfig inForce = parse(example());
    assertDoesNotThrow(
        () ->
            parse(example().replace("\"servers\": 12", "\"servers\": 13"))
                .requireAdoptableAfter(inForce));
    NodeConfig withoutKey = parse(example().replace("\"idle-us\": 30000000, ", ""));
    assertEquals(
        "settings.extra.idle-us is missing, but the configuration in force has this key",
        assertThrows(ConfigException.class, () -> withoutKey.requireAdoptableAfter(inForce))
            .getMessage());
    NodeConfig elsewhere = parse(example().replace("127.0.0.1:7001", "127.0.0.1:7002"));
    assertEquals(
        new ConfigError.RestartRequired(
            "a change of the node's name, of its listen address or of the admin server's address"
                + " (mgmt, or operators.listen in the broker file), or of whether a runtime is set,"
                + " requires a restart"),
        assertThrows(ConfigException.class, () -> elsewhere.requireAdoptableAfter(inForce))
            .error());
  }
}
