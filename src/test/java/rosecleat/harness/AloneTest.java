package rosecleat.harness;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosecleat.cli.Main;
import rosecleat.fakes.UwsgiClient;

/**
 * Tests processes outside a fleet: a broker that starts without one, a node of the platform, and
 * the check of broker files.
 */
class AloneTest {
  @TempDir Path folder;

  private Process process(Map<String, String> env, String... words) throws Exception {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-Xlog:class+load:file=" + folder.resolve("classes"),
                "-cp",
                System.getProperty("java.class.path"),
                "rosecleat.cli.Main"));
    command.addAll(List.of(words));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
    builder.environment().remove("PROXY_CONFIG");
    builder.environment().putAll(env);
    return builder.start();
  }

  private void await(String line) throws Exception {
    for (int i = 0; !Files.readString(folder.resolve("log")).contains(line); i++) {
      assertTrue(i < 1_500, Files.readString(folder.resolve("log")));
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /**
   * Starts the broker of {@code make run} and sends the requests of {@code make ask}, on other
   * ports.
   */
  @Test
  void brokerWithoutFleetStartsAloneAndServesItsDescriptions() throws Exception {
    int[] ports = Site.ports(2);
    Files.createDirectory(folder.resolve("descriptions"));
    for (String file : List.of("cards.yaml", "loads.yaml")) {
      Files.copy(
          Path.of("deploy/descriptions", file), folder.resolve("descriptions").resolve(file));
    }
    Path broker = folder.resolve("broker.yaml");
    Files.writeString(
        broker,
        Files.readString(Path.of("deploy/broker.yaml"))
            .replace("3031", "" + ports[0])
            .replace("3039", "" + ports[1]));
    Process process = process(Map.of(), "serve", "--broker", broker.toString());
    try {
      await("listens for uwsgi");
      assertEquals(
          "{\"card\":\"77\",\"cents\":2500}",
          UwsgiClient.exchange(
                  ports[0],
                  UwsgiClient.packet(
                      UwsgiClient.vars("GET", "/cards/77/balance", "aspen-dining"), ""))
              .body());
      assertEquals(
          "{\"card\":\"77\",\"state\":\"active\"}",
          UwsgiClient.exchange(
                  ports[0],
                  UwsgiClient.packet(
                      UwsgiClient.vars("GET", "/cards/77/status", "aspen-dining"), ""))
              .body());
      assertFalse(
          Files.readString(folder.resolve("classes")).contains("rosecleat.fleet"),
          "a broker outside a fleet loads no fleet class");
      process.destroy();
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * The platform forbids communication between nodes. A node that it starts must load no class that
   * exchanges membership or routes, and must open no datagram socket.
   */
  @Test
  void platformNodeLoadsNoFleetClassAndOpensNoDatagramSocket() throws Exception {
    int[] ports = Site.ports(5);
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        Files.readString(Path.of("deploy/example.json"))
            .replace("7001", "" + ports[0])
            .replace("4400", "" + ports[1])
            .replace("8500", "" + ports[2])
            .replace("5432", "" + ports[3]));
    String run = Files.readString(Path.of("deploy/run"));
    assertTrue(
        run.endsWith("rosecleat.jar serve \"$@\"\n"),
        "the platform starts the command of deploy/run");
    Process process = process(Map.of("PROXY_CONFIG", config.toString()), "serve");
    try {
      await("listens on");
      assertEquals(
          List.of(),
          Files.readString(folder.resolve("classes"))
              .lines()
              .filter(
                  line ->
                      line.matches(
                          ".* rosecleat\\.((fleet|routes|pool|cost)\\.|node\\.(FleetMembership|FileRoutes|RouteReplication|ActiveRoutes|InstancePools|FleetDocuments|RouteEntries)"
                              + " |front\\.uwsgi\\.(InstanceBalancer|Sample)).*"))
              .toList());
      assertFalse(hasDatagramSocket(process.pid()), "the node has a datagram socket");
    } finally {
      process.destroyForcibly();
    }
  }

  private static boolean hasDatagramSocket(long pid) throws IOException {
    List<String> sockets = openFiles(pid);
    return Files.readString(Path.of("/proc/net/udp"))
        .lines()
        .anyMatch(
            line ->
                line.split("\\s+").length > 10 && sockets.contains(line.trim().split("\\s+")[9]));
  }

  /** Returns the open files of a process, with sockets as inode numbers. */
  private static List<String> openFiles(long pid) throws IOException {
    List<String> files = new ArrayList<>();
    try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + pid + "/fd"))) {
      for (Path descriptor : descriptors.toList()) {
        try {
          String file = Files.readSymbolicLink(descriptor).toString();
          files.add(file.replaceAll("socket:\\[(.*)]", "$1"));
        } catch (NoSuchFileException e) {
          // The descriptor was closed after it was listed.
        }
      }
    }
    return files;
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "listen: 127.0.0.1:7946 | lisen: 127.0.0.1:7946 | did you mean listen",
        "listen: 127.0.0.1:7946 | listen: somewhere:7946 | host is an IPv4 address, an IPv6 address"
            + " in brackets or localhost",
        "listen: 127.0.0.1:7946 | listen: 0.0.0.0:7946 | fleet.advertise is needed",
        "period_ms: 1000 | period_ms: 1 | period_ms",
        "name: n2 | name: a b | name",
        "backend: fleet | backend: flet | backend"
      })
  void invalidBrokerFileIsRejectedWithOneLine(String good, String bad, String why)
      throws Exception {
    Files.createDirectory(folder.resolve("fleet"));
    Files.createDirectory(folder.resolve("descriptions"));
    Files.copy(
        Path.of("deploy/descriptions/cards.yaml"), folder.resolve("descriptions/cards.yaml"));
    Path file = folder.resolve("fleet/n2.yaml");
    Files.writeString(
        file,
        Files.readString(Path.of("deploy/fleet/n2.yaml"))
            .replace("7947        #", "7946        #"));
    assertEquals(0, check(file).length());
    Files.writeString(file, Files.readString(file).replace(good, bad));
    String messages = check(file);
    assertTrue(messages.contains(why) && messages.strip().lines().count() == 1, messages);
  }

  private String check(Path file) {
    PrintStream err = System.err;
    ByteArrayOutputStream messages = new ByteArrayOutputStream();
    System.setErr(new PrintStream(messages));
    try {
      Main.run(
          new String[] {"check", "--broker", file.toString()},
          Map.of(),
          InputStream.nullInputStream(),
          new ByteArrayOutputStream());
    } finally {
      System.setErr(err);
    }
    return messages.toString(UTF_8);
  }
}
