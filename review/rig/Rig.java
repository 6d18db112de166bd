import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** What all cases share: the record, node processes, configurations and free ports. */
final class Rig {
  static final Path ROOT = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static PrintWriter record;
  private static Path folder;
  private static final List<Node> NODES = new CopyOnWriteArrayList<>();
  private static final Random RANDOM = new Random();

  private Rig() {}

  interface Body {
    /** Returns whether the rule held. */
    boolean run() throws Exception;
  }

  /** Runs a case, ends all its processes and exits with 0 (held), 1 (broken) or 2 (could not run). */
  static void main(String recordFile, Body body) {
    try {
      record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
      folder = Files.createTempDirectory("review");
    } catch (IOException e) {
      System.err.println("no record or temporary folder: " + e);
      Runtime.getRuntime().halt(2);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> NODES.forEach(Node::kill))); // if the case is ended early
    int code = 2;
    try {
      note("trouble=" + (TROUBLE ? 1 : 0));
      code = body.run() ? 0 : 1;
      note(code == 0 ? "RULE HELD" : "RULE BROKEN");
    } catch (Throwable e) {
      note("COULD NOT RUN: " + e);
      e.printStackTrace(record);
    } finally {
      for (Node node : NODES) {
        node.kill();
      }
      delete(folder);
    }
    System.out.println("exit " + code + ", see " + recordFile);
    Runtime.getRuntime().halt(code);
  }

  /** Writes a line to the record. */
  static synchronized void note(String line) {
    long now = System.currentTimeMillis();
    record.printf("%d.%03d %s%n", now / 1000, now % 1000, line);
  }

  static Path folder() {
    return folder;
  }

  static int freePort() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return server.getLocalPort();
    }
  }

  static synchronized String newId() {
    return String.format("%016x", RANDOM.nextLong());
  }

  /** Returns the project's example configuration with addresses and limits of this machine. */
  static String config(
      String name, int listen, int runtime, int roster, int index, int mgmt, int stopMs, int memoryMb, int sockets)
      throws IOException {
    String text = Files.readString(ROOT.resolve("deploy/example.json"));
    text = set(text, "\"name\": \"example\"", "\"name\": \"" + name + "\"");
    text = set(text, "127.0.0.1:7001", "127.0.0.1:" + listen);
    text = set(text, "127.0.0.1:4400", "127.0.0.1:" + runtime);
    text = set(text, "127.0.0.1:8500", "127.0.0.1:" + roster);
    text = set(text, "127.0.0.1:5432", "127.0.0.1:" + index);
    text = set(text, "\"stop_ms\": 4000", "\"mgmt\": \"127.0.0.1:" + mgmt + "\", \"stop_ms\": " + stopMs);
    text = set(text, "\"memory_mb\": 192", "\"memory_mb\": " + memoryMb);
    return set(text, "\"sockets\": 1024", "\"sockets\": " + sockets);
  }

  static String set(String text, String from, String to) {
    if (!text.contains(from)) {
      throw new IllegalStateException("example.json has no " + from);
    }
    return text.replaceFirst(java.util.regex.Pattern.quote(from), java.util.regex.Matcher.quoteReplacement(to));
  }

  /** Returns a command of the deploy file. */
  static String deployCommand(String key) throws IOException {
    for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
      if (line.startsWith(key + " = \"")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("deploy file has no " + key);
  }

  /** A process of the project, started with the deploy file's run. */
  static final class Node {
    final String label;
    final Process process;
    final Path log;

    private Node(String label, Process process, Path log) {
      this.label = label;
      this.process = process;
      this.log = log;
    }

    /** Starts a node. {@code tmp} is its TMPDIR. {@code arguments} are added to the command. */
    static Node start(String label, Path tmp, String config, String arguments) throws IOException {
      Path log = folder.resolve(label + ".log");
      String command = deployCommand("run") + (arguments.isEmpty() ? "" : " " + arguments);
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", command)
              .directory(ROOT.toFile())
              .redirectErrorStream(true)
              .redirectOutput(log.toFile());
      if (config != null) {
        Path file = folder.resolve(label + ".json");
        Files.writeString(file, config);
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment().put("PROXY_NAME", value(config, "name"));
        builder.environment().put("PROXY_LISTEN", value(config, "listen"));
      }
      builder.environment().put("TMPDIR", tmp.toString());
      Node node = new Node(label, builder.start(), log);
      NODES.add(node);
      note(label + " started, pid " + node.process.pid() + ": " + command);
      return node;
    }

    private static String value(String config, String key) {
      int at = config.indexOf("\"" + key + "\": \"") + key.length() + 5;
      return config.substring(at, config.indexOf('"', at));
    }

    void signal(String name) throws Exception {
      note("SIG" + name + " to " + label);
      new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    boolean alive() {
      return process.isAlive();
    }

    String logText() throws IOException {
      return Files.readString(log);
    }

    void copyLog() {
      try {
        for (String line : Files.readAllLines(log)) {
          note("log of " + label + ": " + (line.length() > 600 ? line.substring(0, 600) : line));
        }
      } catch (IOException e) {
        note("log of " + label + " can't be read: " + e);
      }
    }

    void kill() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  interface Condition {
    boolean holds() throws Exception;
  }

  /** Waits for a condition; throws if it does not hold in time. */
  static void await(String what, long timeoutMs, Condition condition) throws Exception {
    long until = System.currentTimeMillis() + timeoutMs;
    while (!condition.holds()) {
      if (System.currentTimeMillis() > until) {
        throw new IllegalStateException("not in time: " + what);
      }
      Thread.sleep(20);
    }
  }

  /** Returns the status of a GET at the operators' address; 0 if there is no answer. */
  static int get(int port, String path) {
    try (java.net.Socket socket = new java.net.Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.setSoTimeout(2000);
      socket
          .getOutputStream()
          .write(("GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      String head = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
      return head.length() < 12 ? 0 : Integer.parseInt(head.substring(9, 12));
    } catch (IOException | NumberFormatException e) {
      return 0;
    }
  }

  static String getText(int port, String path) {
    try (java.net.Socket socket = new java.net.Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.setSoTimeout(2000);
      socket
          .getOutputStream()
          .write(("GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  /** Encodes a RESP array of bulk strings. */
  static byte[] array(Object... words) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
    for (Object word : words) {
      byte[] bytes = word instanceof byte[] b ? b : word.toString().getBytes(StandardCharsets.UTF_8);
      out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.writeBytes(bytes);
      out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    return out.toByteArray();
  }

  static void delete(Path path) {
    try (Stream<Path> files = Files.walk(path)) {
      for (Path file : files.sorted(java.util.Comparator.reverseOrder()).collect(Collectors.toList())) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      note("temporary folder not deleted: " + e);
    }
  }
}
