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
 * A node in a process of its own, started like {@code deploy/run}, but with the class path of the
 * tests, reduced to the jars that the node needs so that few descriptors are open. Configuration,
 * log and stored files are in one folder.
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
   * @param folder the folder of its files; nodes in the same folder share a {@code TMPDIR}
   * @param name the prefix of its file names
   * @param config the configuration
   * @param maxDescriptors the limit of the operating system on its file descriptors
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

  /** Returns a loopback port on which no process listens. */
  public static int freePort() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return server.getLocalPort();
    }
  }

  /** Returns the log lines that the node has written so far. */
  public String log() {
    try {
      return Files.readString(logFile);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Replaces the configuration file, which the node reads on SIGHUP. */
  public void configure(String config) throws IOException {
    Files.writeString(configFile, config);
  }

  /** Sends SIGTERM directly; the signal has been delivered when this method returns. */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Sends a signal by name, such as {@code HUP}, through a {@code kill} process; takes some ms. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns whether the process still runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Waits for the process to exit; returns false on timeout. */
  public boolean awaitExit(long timeoutNs) throws InterruptedException {
    return process.waitFor(timeoutNs, TimeUnit.NANOSECONDS);
  }

  /** Returns the exit code of the process. */
  public int exitCode() {
    return process.exitValue();
  }

  /** Kills the process. */
  public void kill() {
    process.destroyForcibly();
  }

  /** Kills the process and waits for its exit. */
  @Override
  public void close() {
    try {
      process.destroyForcibly().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
