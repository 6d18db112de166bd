package rosecleat.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * Several processes of the program on loopback, named n0, n1 and so on. They are connected through
 * the relays of {@link Links}.
 */
public final class Site implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** The OpenAPI description of the service: two reads and a keyed operation. */
  private static final String DESCRIPTION =
      """
      openapi: 3.0.3
      info: {title: cards, version: "1"}
      paths:
        /cheap: {get: {operationId: cheap, responses: {"200": {description: ok}}}}
        /dear: {get: {operationId: dear, responses: {"200": {description: ok}}}}
        /loads: {post: {operationId: load, responses: {"200": {description: ok}}}}
      """;

  public final int size;
  public final int periodMs;
  final Links links;
  private final Path folder;
  private final Process[] processes;
  private final int[] fleetPorts;
  private final int[] advertisedPorts;
  private final int[] adminPorts;
  private final int[] frontendPorts;
  private final String moreSections;

  /** Writes the files of processes, with more sections in each; starts no process. */
  public Site(Path folder, int size, int periodMs, String moreSections) throws IOException {
    this.folder = folder;
    this.size = size;
    this.periodMs = periodMs;
    this.moreSections = moreSections;
    processes = new Process[size];
    int[] ports = ports(4 * size);
    fleetPorts = java.util.Arrays.copyOfRange(ports, 0, size);
    advertisedPorts = java.util.Arrays.copyOfRange(ports, size, 2 * size);
    adminPorts = java.util.Arrays.copyOfRange(ports, 2 * size, 3 * size);
    frontendPorts = java.util.Arrays.copyOfRange(ports, 3 * size, 4 * size);
    links = new Links(fleetPorts, advertisedPorts);
    Files.writeString(folder.resolve("api.yaml"), DESCRIPTION);
    for (int i = 0; i < size; i++) {
      configure(i, "n" + i, seeds(), i == 0 ? "routes: {file: routes.yaml}\n" : "");
    }
  }

  /** Returns ports on which no process listens. */
  static int[] ports(int count) throws IOException {
    List<ServerSocket> reserved = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        reserved.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return reserved.stream().mapToInt(ServerSocket::getLocalPort).toArray();
    } finally {
      for (ServerSocket each : reserved) {
        each.close();
      }
    }
  }

  private String seeds() {
    return String.join(
        ", ",
        IntStream.range(0, Math.min(3, size))
            .mapToObj(k -> "\"127.0.0.1:" + advertisedPorts[k] + "\"")
            .toList());
  }

  /** Writes the broker file of a process, which reads it at its next start. */
  public void configure(int i, String name, String seeds, String sections) throws IOException {
    Files.writeString(
        folder.resolve("n" + i + ".yaml"),
        """
        name: %s
        limits: {memory_mb: 64}
        operators: {listen: "127.0.0.1:%d"}
        fleet: {cluster: test, listen: "127.0.0.1:%d", advertise: "127.0.0.1:%d", zone: z%d, seeds: [%s], period_ms: %d}
        uwsgi: {listen: "127.0.0.1:%d", connections: 512}
        descriptions: [{openapi: api.yaml}]
        services:
          cards:
            backend: fleet
            contract:
              cheap: {class: cheap, aim_ms: 500, deadline_ms: 3000, effect: pure}
              dear: {class: dear, aim_ms: 1500, deadline_ms: 3000, effect: pure}
              load: {class: load, aim_ms: 1500, deadline_ms: 3000, effect: token, window_ms: 20000}
            budget: {till: {quota_per_s: 1000}}
        %s%s\
        """
            .formatted(
                name,
                adminPorts[i],
                fleetPorts[i],
                advertisedPorts[i],
                i % 3,
                seeds,
                periodMs,
                frontendPorts[i],
                sections,
                moreSections));
  }

  /** Replaces the routes file that n0 publishes; {@code lines} are the entries of instances. */
  public void writeRoutes(String lines) throws IOException {
    Path replacement = folder.resolve("routes.new");
    Files.writeString(replacement, "services:\n  cards:\n    instances: {" + lines + "}\n");
    Files.move(
        replacement, folder.resolve("routes.yaml"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
  }

  /** Starts processes by number. */
  public void start(int... which) throws IOException {
    for (int i : which) {
      processes[i] =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-Xmx48m",
                  "-XX:-UsePerfData",
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-Xshare:auto",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "rosecleat.cli.Main",
                  "serve",
                  "--broker",
                  folder.resolve("n" + i + ".yaml").toString())
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log(i).toFile()))
              .start();
    }
  }

  /** Starts all processes. */
  public Site startAll() throws IOException {
    start(IntStream.range(0, size).toArray());
    return this;
  }

  private Path log(int i) {
    return folder.resolve("n" + i + ".log");
  }

  /** Returns all lines that a process logged. */
  public String logOf(int i) {
    try {
      return Files.readString(log(i));
    } catch (IOException e) {
      return "";
    }
  }

  /** Sends a signal: KILL, TERM, STOP, CONT or HUP. */
  public void signal(int i, String name) throws Exception {
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + processes[i].pid())
        .start()
        .waitFor();
    if (name.equals("KILL")) {
      processes[i].waitFor();
    }
  }

  long pid(int i) {
    return processes[i].pid();
  }

  public boolean isAlive(int i) {
    return processes[i] != null && processes[i].isAlive();
  }

  public int frontendPort(int i) {
    return frontendPorts[i];
  }

  public int fleetPort(int i) {
    return fleetPorts[i];
  }

  public String advertisedAddress(int i) {
    return "127.0.0.1:" + advertisedPorts[i];
  }

  /** Returns JSON from a process's admin server; a missing node if the request fails. */
  public JsonNode adminJson(int i, String path) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), adminPorts[i])) {
      socket.setSoTimeout(3_000);
      socket
          .getOutputStream()
          .write(
              ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      return JSON.readTree(reply.substring(reply.indexOf("\r\n\r\n") + 4));
    } catch (IOException | RuntimeException e) {
      return JSON.missingNode();
    }
  }

  /**
   * Returns the state of a name's member in a process's view, or an empty string if there is none.
   * Of several members the last listed counts, which has the greatest epoch.
   */
  public String state(int at, String name) {
    String state = "";
    for (JsonNode member : adminJson(at, "/v1/fleet").path("members")) {
      state = member.path("name").asText().equals(name) ? member.path("state").asText() : state;
    }
    return state;
  }

  /** Like {@link #state}, but returns the member's epoch, or 0 if there is none. */
  public long epoch(int at, String name) {
    long epoch = 0;
    for (JsonNode member : adminJson(at, "/v1/fleet").path("members")) {
      epoch = member.path("name").asText().equals(name) ? member.path("epoch").asLong() : epoch;
    }
    return epoch;
  }

  /**
   * Returns whether each of these processes considers as many members alive as are named here, and
   * all are settled with the same digest.
   */
  public boolean settled(int... which) {
    String digest = null;
    for (int i : which) {
      JsonNode view = adminJson(i, "/v1/fleet");
      int alive = 0;
      for (JsonNode member : view.path("members")) {
        alive += member.path("state").asText().equals("alive") ? 1 : 0;
      }
      if (!view.path("settled").asBoolean()
          || alive != which.length
          || (digest != null && !digest.equals(view.path("digest").asText()))) {
        return false;
      }
      digest = view.path("digest").asText();
    }
    return true;
  }

  public int[] all() {
    return IntStream.range(0, size).toArray();
  }

  public int[] allExcept(int... without) {
    return IntStream.range(0, size)
        .filter(i -> IntStream.of(without).noneMatch(w -> w == i))
        .toArray();
  }

  /** Waits for a condition; the failure message contains the views and logs of all processes. */
  public void await(String what, int seconds, BooleanSupplier condition)
      throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        StringBuilder seen = new StringBuilder();
        for (int i = 0; i < size; i++) {
          seen.append("\nn")
              .append(i)
              .append(": ")
              .append(adminJson(i, "/v1/fleet"))
              .append(adminJson(i, "/v1/routes"))
              .append(logOf(i).lines().limit(6).toList());
        }
        throw new AssertionError(what + " not reached within " + seconds + " s:" + seen);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /** Waits up to 20 s until these processes are settled. */
  public Site awaitSettled(int... which) throws InterruptedException {
    await("settled", 20, () -> settled(which));
    return this;
  }

  /** Waits up to 60 s until a partition of {@code alive} processes is settled. */
  public Site awaitSettledPartition(int alive, int... which) throws InterruptedException {
    await("partition settled", 60, () -> settled(which) && which.length == alive);
    return this;
  }

  @Override
  public void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
    links.close();
  }
}
