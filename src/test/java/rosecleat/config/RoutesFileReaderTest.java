package rosecleat.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.config.RoutesFile.InstanceEntry;
import rosecleat.config.RoutesFile.InstanceState;

/** Reads routes files: defaults, instance states in each spelling, and reports of all errors. */
class RoutesFileReaderTest {
  @TempDir Path folder;

  private RoutesFile read(String text) throws IOException {
    return RoutesFileReader.read(Files.writeString(folder.resolve("routes.yaml"), text));
  }

  private static InstanceEntry entry(
      String name, String zone, double weight, InstanceState state, int capacity) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9000);
    return new InstanceEntry("cards", name, address, zone, weight, state, capacity);
  }

  @Test
  void entriesAreReadInFileOrderWithDefaults() throws IOException {
    RoutesFile file =
        read(
            """
            services:
              cards:
                instances:
                  b: {address: 'uwsgi://127.0.0.1:9000'}
                  a: {address: 'uwsgi://127.0.0.1:9000', state: drain, zone: z1, weight: 2.5, places: 3}
                  c: {address: 'uwsgi://127.0.0.1:9000', state: off}
                  d: {address: 'uwsgi://127.0.0.1:9000', state: 'on'}
            """);
    assertEquals(
        List.of(
            entry("b", "", 1, InstanceState.ON, 0),
            entry("a", "z1", 2.5, InstanceState.DRAIN, 3),
            entry("c", "", 1, InstanceState.OFF, 0),
            entry("d", "", 1, InstanceState.ON, 0)),
        file.instances());
  }

  @Test
  void schemaViolationsAndInvalidAddressesAreReportedTogether() {
    String message =
        assertThrows(
                ConfigException.class,
                () ->
                    read(
                        """
                        services:
                          cards:
                            instances:
                              a: {address: 'uwsgi://host:9000'}
                              b: {address: 'uwsgi://127.0.0.1:9000', wieght: 2}
                        """))
            .getMessage();
    assertEquals(
        "routes file "
            + folder.resolve("routes.yaml")
            + ": line 5: /services/cards/instances/b has the unknown key wieght; did you mean"
            + " weight?; address of cards/a must be host:port, where host is an IPv4"
            + " address, an IPv6 address in brackets or localhost, got host:9000",
        message);
  }
}
