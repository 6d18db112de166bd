package rosecleat.flood;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeRegistry;
import rosecleat.fakes.FakeRuntime;
import rosecleat.harness.ServeProcess;

/**
 * A process of the node as the platform starts it: by {@code deploy/run}, hence with the heap for a
 * limit on memory, with {@code deploy/example.json} and, for the uwsgi frontend, {@code
 * deploy/broker.yaml}. Only the class path differs.
 */
final class DeployedNode implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int RUN_MS = 20;
  private static final long EXIT_TIMEOUT_S = 10;

  final FakeRuntime runtime;
  final int respPort;
  final int uwsgiPort;
  private final FakeRegistry registry;
  private final Path log;
  private final Process process;

  private DeployedNode(
      FakeRuntime runtime, int respPort, int uwsgiPort, FakeRegistry registry, Path folder)
      throws IOException {
    this.runtime = runtime;
    this.respPort = respPort;
    this.uwsgiPort = uwsgiPort;
    this.registry = registry;
    log = folder.resolve("node.log");
    ProcessBuilder builder =
        new ProcessBuilder(
                "/bin/sh", "deploy/run", "--broker", folder.resolve("broker.yaml").toString())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile());
    builder.environment().put("PROXY_CONFIG", folder.resolve("node.json").toString());
    builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
    String path = folder.resolve("bin") + File.pathSeparator + System.getenv("PATH");
    builder.environment().put("PATH", path);
    process = builder.start();
  }

  /**
   * Starts a node and waits until it serves.
   *
   * @param memoryMb the limit on its memory
   * @param uwsgiConnections the maximum number of connections of the uwsgi frontend
   */
  static DeployedNode start(Path folder, int memoryMb, int uwsgiConnections) throws IOException {
    FakeRuntime runtime = new FakeRuntime(RUN_MS);
    FakeRegistry registry = new FakeRegistry();
    int respPort = ServeProcess.freePort();
    int uwsgiPort = ServeProcess.freePort();
    writeConfig(folder, memoryMb, respPort, runtime.port(), registry.port());
    writeBrokerFile(folder, uwsgiPort, uwsgiConnections);
    writeJavaWrapper(folder);
    DeployedNode node = new DeployedNode(runtime, respPort, uwsgiPort, registry, folder);
    Await.until(() -> node.log().contains("listens on") && node.log().contains("runtime is ready"));
    return node;
  }

  private static void writeConfig(
      Path folder, int memoryMb, int respPort, int runtimePort, int registryPort)
      throws IOException {
    ObjectNode config = (ObjectNode) JSON.readTree(Path.of("deploy/example.json").toFile());
    config.put("listen", "127.0.0.1:" + respPort);
    config.put("runtime", "127.0.0.1:" + runtimePort);
    config.put("roster", "127.0.0.1:" + registryPort);
    config.put("index", "127.0.0.1:" + ServeProcess.freePort());
    ((ObjectNode) config.get("limits")).put("memory_mb", memoryMb);
    Files.writeString(folder.resolve("node.json"), config.toString());
  }

  private static void writeBrokerFile(Path folder, int port, int connections) throws IOException {
    String text = Files.readString(Path.of("deploy/broker.yaml"));
    text = replace(text, "listen: 127\\.0\\.0\\.1:3031", "listen: 127.0.0.1:" + port);
    text = replace(text, "connections: [0-9]+", "connections: " + connections);
    text = replace(text, "backend: sample", "backend: runtime");
    text = replace(text, " *sample_ms: [0-9]+", "");
    String descriptions = Path.of("deploy/descriptions").toAbsolutePath() + "/";
    text = replace(text, "descriptions/", descriptions);
    Files.writeString(folder.resolve("broker.yaml"), text);
  }

  private static String replace(String text, String pattern, String replacement) {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    if (!matcher.find()) {
      throw new IllegalStateException("deploy/broker.yaml has no " + pattern);
    }
    return matcher.replaceAll(Matcher.quoteReplacement(replacement));
  }

  /** Writes a command {@code java} that runs the tests' classes in place of the jar. */
  private static void writeJavaWrapper(Path folder) throws IOException {
    Path wrapper = Files.createDirectories(folder.resolve("bin")).resolve("java");
    Files.writeString(
        wrapper,
        """
        #!/bin/sh
        for argument do
          shift
          case $argument in
            -jar | -XX:SharedArchiveFile=*) ;;
            target/rosecleat.jar) set -- "$@" -cp '%s' rosecleat.cli.Main ;;
            *) set -- "$@" "$argument" ;;
          esac
        done
        exec '%s' "$@"
        """
            .formatted(
                System.getProperty("java.class.path"),
                Path.of(System.getProperty("java.home"), "bin", "java")));
    if (!wrapper.toFile().setExecutable(true)) {
      throw new IOException("could not make " + wrapper + " executable");
    }
  }

  String log() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Sends a signal by name, such as {@code STOP}, and returns once it has been delivered. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the most memory that the process has occupied so far, in KB. */
  long peakMemoryKb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
      }
    }
    throw new IOException("no VmHWM of process " + process.pid());
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    runtime.close();
    registry.close();
  }
}
