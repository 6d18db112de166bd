package rosecleat.harness;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * A node as a process of its own, started as {@code deploy/run} does, but with classes from where
 * the tests have them and with as few open jars. Its files are in one folder: the configuration,
 * the log, and what the node keeps.
 */
public final class ServeProcess implements AutoCloseable {
  private static final String HEAP = "-Xmx40m";

  private final Path configFile;
  private final Path logFile;
  private final Process process;

  private ServeProcess(Path configFile, Path logFile, Process process) {
    this.configFile = configFile;
    this.logFile = logFile;
    this.process = process;
  }

  /**
   * Starts a node.
   *
   * @param folder where its files are kept; another node there shares its {@code TMPDIR}
   * @param name begins the names of its files
   * @param config the configuration
   * @param maxDescriptors the system's limit on its file descriptors
   */
  public static ServeProcess start(Path folder, String name, String config, int maxDescriptors)
      throws IOException {
    Path configFile = folder.resolve(name + ".json");
    Path logFile = folder.resolve(name + ".log");
    Files.writeString(configFile, config);
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", command(maxDescriptors))
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile());
    builder.environment().put("PROXY_CONFIG", configFile.toString());
    builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
    return new ServeProcess(configFile, logFile, builder.start());
  }

  private static String command(int maxDescriptors) {
    Path java = Path.of(System.getProperty("java.home"), "bin", "java");
    return "ulimit -n %d && exec %s -XX:+UseSerialGC -XX:TieredStopAtLevel=1 %s -cp '%s' %s serve"
        .formatted(maxDescriptors, java, HEAP, classPath(), "rosecleat.cli.Main");
  }

  private static String classPath() {
    return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(
            part ->
                part.endsWith("target/classes")
                    || part.matches(".*/(jackson-(core|databind|annotations)|jcommander)-.*"))
        .collect(Collectors.joining(File.pathSeparator));
  }

  /** Returns a port of loopback that nobody listens at. */
  public static int freePort() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return server.getLocalPort();
    }
  }

  /** Returns what the node has logged so far. */
  public String log() {
    try {
      return Files.readString(logFile);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Puts another configuration in its file; SIGHUP has the node read it. */
  public void configure(String config) throws IOException {
    Files.writeString(configFile, config);
  }

  /** Sends SIGTERM, which has arrived when this returns. */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Sends another signal by its name, such as {@code HUP}, which takes some milliseconds. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns whether the process has not ended. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Waits for the end of the process; returns false where it does not come in time. */
  public boolean awaitExit(long timeoutNs) throws InterruptedException {
    return process.waitFor(timeoutNs, TimeUnit.NANOSECONDS);
  }

  /** Returns the code that the process ended with. */
  public int exitCode() {
    return process.exitValue();
  }

  /** Kills the process. */
  public void kill() {
    process.destroyForcibly();
  }

  /** Kills the process and waits for its end. */
  @Override
  public void close() {
    try {
      process.destroyForcibly().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
