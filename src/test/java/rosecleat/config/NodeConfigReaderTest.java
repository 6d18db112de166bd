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

/** A platform's configuration file: its values, and the error of each kind of fault. */
class NodeConfigReaderTest {
  private static String example() throws IOException {
    return Files.readString(Path.of("deploy/example.json"));
  }

  private static NodeConfig parse(String text) {
    return NodeConfigReader.parse(text, Map.of());
  }

  @Test
  void exampleFileGivesAddressesTimesAndNames() throws IOException {
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
          "stop_ms": 4000         | "stop_ms": 0            | stop_ms is no number above 0
          "runtime": "127         | "runtime": "x127        | runtime is not a literal address: x127.0.0.1:4400
          "listen": "127.0.0.1:   | "listen": "127.0.0.1    | listen is not host:port: 127.0.0.17001
          "seed": "1f"            | "seed": "zz"            | seed is not a hexadecimal number of 64 bits
          "seed": "1f"            | "seed": 31              | seed is no text
          "name": "example"       | "name": "ex ample"      | the configuration lacks a usable name
          "settings"              | "setings"               | the configuration lacks settings
          "grades"                | "grapes"                | settings lack grades
          "card-status"           | "card-load"             | grades has card-load twice
          "cpus": 6,              | `` | extra.cpus is missing
          "cpus": 6               | "cpus": "6"             | extra.cpus is no number above 0
          "key-kb": 100           | "key-kb": -1            | extra.key-kb is no number of 0 or more
          "cold": false           | "cold": 0               | extra.cold is neither true nor false
          [0.3, 0, 0.3, 0]        | [0.3, 0, 0.3]           | extra.worth-without is no list with one entry for each class
          [true, false            | [true, 1                | extra.class-calls has an entry of another type
          "token"                 | "tokens"                | settings have an unknown word for effect
          "drop"                  | "stop"                  | settings have an unknown word for halt
          """)
  void faultIsRejectedWithItsKey(String from, String into, String message) throws IOException {
    String text = example();
    String changed = text.replace(from, into == null ? "" : into);
    assertEquals(false, changed.equals(text), "nothing was changed");
    assertEquals(message, assertThrows(ConfigException.class, () -> parse(changed)).getMessage());
  }

  @Test
  void environmentSuppliesWhatTheFileLacks() throws IOException {
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
  void runningNodeAdoptsOtherValuesButNoMissingKeyAndNoOtherListenAddress() throws IOException {
    NodeConfig inForce = parse(example());
    assertDoesNotThrow(
        () ->
            parse(example().replace("\"servers\": 12", "\"servers\": 13"))
                .requireAdoptableAfter(inForce));
    NodeConfig withoutKey = parse(example().replace("\"idle-us\": 30000000, ", ""));
    assertEquals(
        "settings.extra.idle-us is missing",
        assertThrows(ConfigException.class, () -> withoutKey.requireAdoptableAfter(inForce))
            .getMessage());
    NodeConfig elsewhere = parse(example().replace("127.0.0.1:7001", "127.0.0.1:7002"));
    assertEquals(
        new ConfigError.RestartRequired(
            "its name, where it listens and whether it has a runtime need a restart"),
        assertThrows(ConfigException.class, () -> elsewhere.requireAdoptableAfter(inForce))
            .error());
  }
}
