package rig2;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: a record, a temporary folder, the processes under test and small stand-ins
 * for balancers, web servers, uwsgi services, the runtime, the index and the roster. Every address
 * is a loopback address.
 */
final class Rig implements AutoCloseable {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  private static final long MAX_MS = 110_000;

  final Path repo;
  final Path folder;
  final Path temporary;
  final boolean trouble;
  private final PrintStream record;
  private final long startedNs = System.nanoTime();
  private final List<Program> programs = new CopyOnWriteArrayList<>();
  private final List<ServerSocket> servers = new CopyOnWriteArrayList<>();

  Rig(String[] args) throws IOException {
    folder = Path.of(args[0]).toAbsolutePath();
    repo = folder.getParent().getParent();
    trouble = !"0".equals(System.getenv("TROUBLE"));
    temporary = Files.createTempDirectory("rosecleat-review");
    record = new PrintStream(Files.newOutputStream(folder.resolve("record.txt")), true, "UTF-8");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endPrograms));
    Thread watchdog = new Thread(this::endLate, "watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
    say("case " + folder.getFileName() + ", TROUBLE=" + (trouble ? "1" : "0"));
  }

  /** Ends a case that takes too long, with all processes that it started. */
  private void endLate() {
    try {
      sleep(MAX_MS);
    } catch (InterruptedException e) {
      return;
    }
    say("the case could not run: it takes over " + MAX_MS + " ms");
    endPrograms();
    Runtime.getRuntime().halt(COULD_NOT_RUN);
  }

  interface Body {
    int run(Rig rig) throws Exception;
  }

  /** Runs a case and ends the process with its verdict. */
  static void main(String[] args, Body body) {
    int verdict = COULD_NOT_RUN;
    try (Rig rig = new Rig(args)) {
      try {
        verdict = body.run(rig);
      } catch (Throwable e) {
        rig.say("the case could not run: " + e);
        for (StackTraceElement each : e.getStackTrace()) {
          rig.say("  at " + each);
        }
      }
      rig.endPrograms();
      rig.copyLogs();
      rig.say(
          "verdict: "
              + (verdict == HELD ? "rule held" : verdict == BROKEN ? "RULE BROKEN" : "could not run"));
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.out.println("exit " + verdict);
    Runtime.getRuntime().halt(verdict);
  }

  void say(String line) {
    synchronized (record) {
      record.printf("%8.3f %s%n", (System.nanoTime() - startedNs) / 1e9, line);
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  static long nowMs() {
    return System.currentTimeMillis();
  }

  static void sleep(long ms) throws InterruptedException {
    if (ms > 0) {
      Thread.sleep(ms);
    }
  }

  interface Check {
    boolean holds() throws Exception;
  }

  static boolean await(long timeoutMs, Check check) throws Exception {
    long until = nowMs() + timeoutMs;
    while (nowMs() < until) {
      if (check.holds()) {
        return true;
      }
      sleep(20);
    }
    return check.holds();
  }

  Path write(String name, String text) throws IOException {
    Path file = temporary.resolve(name);
    Files.createDirectories(file.getParent());
    Path fresh = temporary.resolve(name + ".new");
    Files.writeString(fresh, text);
    Files.move(
        fresh,
        file,
        java.nio.file.StandardCopyOption.ATOMIC_MOVE,
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    return file;
  }

  /** Returns deploy/example.json with keys replaced; values are JSON texts. */
  String platformConfig(Map<String, String> values) throws IOException {
    String text = Files.readString(repo.resolve("deploy/example.json"));
    for (Map.Entry<String, String> each : values.entrySet()) {
      Pattern pattern =
          Pattern.compile("\"" + Pattern.quote(each.getKey()) + "\":\\s*(\"[^\"]*\"|[0-9.]+)");
      Matcher matcher = pattern.matcher(text);
      if (!matcher.find()) {
        throw new IllegalStateException("deploy/example.json has no key " + each.getKey());
      }
      text =
          matcher.replaceFirst(
              Matcher.quoteReplacement("\"" + each.getKey() + "\": " + each.getValue()));
    }
    return text;
  }

  /** Returns the command line `run` of the deploy file. */
  String runCommand() throws IOException {
    for (String line : Files.readAllLines(repo.resolve("deploy/balancer.toml"))) {
      Matcher matcher = Pattern.compile("run\\s*=\\s*\"(.*?)\"\\s*(#.*)?").matcher(line);
      if (matcher.matches()) {
        return matcher.group(1);
      }
    }
    throw new IllegalStateException("deploy/balancer.toml has no run");
  }

  /** A process under test. */
  final class Program {
    final String name;
    final Path log;
    final Process process;

    Program(String name, String arguments, Map<String, String> environment) throws IOException {
      this.name = name;
      log = temporary.resolve(name + ".log");
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand() + arguments);
      builder.directory(repo.toFile());
      builder.environment().remove("PROXY_CONFIG");
      builder.environment().remove("TMPDIR");
      builder.environment().putAll(environment);
      builder.redirectErrorStream(true).redirectOutput(log.toFile());
      process = builder.start();
      programs.add(this);
      say(name + " started: " + runCommand() + arguments.replace(temporary.toString(), "TMP"));
    }

    boolean logged(String text) throws IOException {
      return Files.exists(log) && Files.readString(log).contains(text);
    }

    int logCount(String text) throws IOException {
      return Files.readString(log).split(Pattern.quote(text), -1).length - 1;
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
      say(name + " gets SIG" + signal);
    }

    void awaitLog(long timeoutMs, String text) throws Exception {
      if (!await(timeoutMs, () -> logged(text) || !process.isAlive()) || !logged(text)) {
        throw new IllegalStateException(name + " never logged: " + text);
      }
    }
  }

  Program start(String name, String arguments, Map<String, String> environment)
      throws IOException {
    return new Program(name, arguments, environment);
  }

  private void endPrograms() {
    for (Program each : programs) {
      each.process.destroyForcibly();
      try {
        each.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void copyLogs() throws IOException {
    for (Program each : programs) {
      say("log of " + each.name + ":");
      for (String line : Files.readAllLines(each.log)) {
        if (!line.contains(" counters ")) {
          say("  | " + line.replace(temporary.toString(), "TMP"));
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket each : servers) {
      each.close();
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
    record.close();
  }

  interface Session {
    void serve(Socket socket) throws Exception;
  }

  /** Listens on a free loopback port; each connection gets a thread. */
  int listen(String name, Session session) throws IOException {
    ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    servers.add(server);
    Thread acceptor =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try {
                  Socket socket = server.accept();
                  socket.setTcpNoDelay(true);
                  thread(
                      name,
                      () -> {
                        try (socket) {
                          session.serve(socket);
                        }
                      });
                } catch (IOException e) {
                  return;
                }
              }
            },
            name);
    acceptor.setDaemon(true);
    acceptor.start();
    return server.getLocalPort();
  }

  interface Task {
    void run() throws Exception;
  }

  Thread thread(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // the other side has ended
              } catch (Exception e) {
                say(name + " failed: " + e);
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sink(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    byte[] buffer = new byte[4096];
    while (in.read(buffer) >= 0) {
      continue;
    }
  }

  /** The roster: answers every report with 204. */
  int roster() throws IOException {
    return listen(
        "roster",
        socket -> {
          InputStream in = socket.getInputStream();
          while (true) {
            String head = readHead(in);
            if (head == null) {
              return;
            }
            Matcher length = Pattern.compile("(?i)content-length:\\s*(\\d+)").matcher(head);
            in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
            socket
                .getOutputStream()
                .write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          }
        });
  }

  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int last = 0;
    for (int next = in.read(); next >= 0; next = in.read()) {
      head.write(next);
      last = last << 8 | next;
      if (last == 0x0d0a0d0a) {
        return head.toString(StandardCharsets.ISO_8859_1);
      }
    }
    return null;
  }

  /** The index: accepts connections. No run of these cases makes a call. */
  int index() throws IOException {
    return listen("index", Rig::sink);
  }

  /** The runtime: each start runs for a time that its class states, beside all others. */
  final class RuntimeStandIn {
    record Start(String id, String kind, String body, long atMs) {}

    final String name;
    final int port;
    final List<Start> starts = new CopyOnWriteArrayList<>();
    final Map<String, Integer> runMs = new ConcurrentHashMap<>();
    volatile int defaultRunMs = 30;
    volatile long readyAt;
    private final List<String> notices = new ArrayList<>();
    private final Map<String, Boolean> running = new ConcurrentHashMap<>();
    private OutputStream out;

    RuntimeStandIn(String name) throws IOException {
      this.name = name;
      port = listen(name, this::serve);
    }

    private void serve(Socket socket) throws Exception {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        command(socket, line);
      }
    }

    private void command(Socket socket, String line) throws Exception {
      String id = text(line, "job");
      switch (text(line, "type")) {
        case "sync" -> {
          while (nowMs() < readyAt) {
            sleep(10);
          }
          sync(socket, Integer.parseInt(text(line, "n")));
        }
        case "start" -> start(id, line);
        case "stop" -> {
          if (running.remove(id) != null) {
            notice("end", id, ",\"state\":\"halted\",\"took\":1");
          }
        }
        case "gauges" ->
            send(
                "{\"type\":\"load\",\"ref\":\""
                    + text(line, "ref")
                    + "\",\"gauges\":["
                    + Math.min(1, running.size() / 6.0)
                    + ","
                    + running.size()
                    + ",0.1,3]}");
        default -> say(name + " reads " + line);
      }
    }

    private synchronized void sync(Socket socket, int read) throws IOException {
      out = socket.getOutputStream();
      send("{\"type\":\"ready\",\"state\":\"warm\",\"took\":100000}");
      for (String each : notices.subList(read, notices.size())) {
        send(each);
      }
    }

    private void start(String id, String line) {
      if (running.putIfAbsent(id, true) != null) {
        return;
      }
      String kind = text(line, "kind");
      String body =
          new String(Base64.getDecoder().decode(text(line, "data")), StandardCharsets.ISO_8859_1);
      starts.add(new Start(id, kind, body, nowMs()));
      say(name + " runs " + id + " " + kind + " " + body);
      thread(
          "run",
          () -> {
            sleep(runMs.getOrDefault(kind, defaultRunMs));
            if (running.remove(id) != null) {
              byte[] result = ("did " + body).getBytes(StandardCharsets.ISO_8859_1);
              notice(
                  "end",
                  id,
                  ",\"state\":\"ok\",\"took\":"
                      + runMs.getOrDefault(kind, defaultRunMs)
                      + ",\"data\":\""
                      + Base64.getEncoder().encodeToString(result)
                      + "\"");
            }
          });
    }

    private synchronized void notice(String type, String id, String rest) {
      String line =
          "{\"type\":\"" + type + "\",\"n\":" + (notices.size() + 1) + ",\"job\":\"" + id + "\""
              + rest + "}";
      notices.add(line);
      send(line);
    }

    private synchronized void send(String line) {
      try {
        if (out != null) {
          out.write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
        }
      } catch (IOException e) {
        // the next link gets the notices
      }
    }
  }

  static String text(String json, String key) {
    Matcher matcher = Pattern.compile("\"" + key + "\":\\s*(\"([^\"]*)\"|[0-9]+)").matcher(json);
    if (!matcher.find()) {
      return "";
    }
    return matcher.group(2) != null ? matcher.group(2) : matcher.group(1);
  }

  record Answer(long tag, String word, String fields, byte[] body, long atMs) {}

  /** One connection of a balancer. */
  final class RespClient implements AutoCloseable {
    final Socket socket;
    final Map<Long, Answer> answers = new ConcurrentHashMap<>();
    final AtomicLong lastTag = new AtomicLong();
    volatile boolean bye;
    volatile boolean ended;

    RespClient(int port) throws IOException {
      socket = new Socket();
      socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2000);
      socket.setTcpNoDelay(true);
      thread(
          "balancer",
          () -> {
            try {
              read();
            } finally {
              ended = true;
            }
          });
    }

    private void read() throws IOException {
      InputStream in = socket.getInputStream();
      for (byte[][] array = readArray(in); array != null; array = readArray(in)) {
        long tag = Long.parseLong(ascii(array[0]));
        String word = ascii(array[1]);
        if (tag == 0 && word.equals("BYE")) {
          bye = true;
          continue;
        }
        String fields = array.length > 2 ? ascii(array[2]) : "";
        byte[] body = array.length > 3 ? array[3] : new byte[0];
        if (answers.put(tag, new Answer(tag, word, fields, body, nowMs())) != null) {
          say("second answer to tag " + tag);
        }
      }
    }

    /** Sends words as one array; returns the tag, which is the second word. */
    synchronized long send(String command, String... more) throws IOException {
      long tag = lastTag.incrementAndGet();
      List<byte[]> words = new ArrayList<>();
      words.add(latin(command));
      words.add(latin(Long.toString(tag)));
      for (String each : more) {
        words.add(latin(each));
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(latin("*" + words.size() + "\r\n"));
      for (byte[] word : words) {
        bytes.writeBytes(latin("$" + word.length + "\r\n"));
        bytes.writeBytes(word);
        bytes.writeBytes(latin("\r\n"));
      }
      socket.getOutputStream().write(bytes.toByteArray());
      return tag;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static byte[] latin(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static String ascii(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private static byte[][] readArray(InputStream in) throws IOException {
    String head = readLine(in);
    if (head == null) {
      return null;
    }
    byte[][] words = new byte[Integer.parseInt(head.substring(1))][];
    for (int i = 0; i < words.length; i++) {
      int length = Integer.parseInt(readLine(in).substring(1));
      words[i] = in.readNBytes(length);
      in.readNBytes(2);
    }
    return words;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return line.toString().trim();
      }
      line.append((char) next);
    }
    return null;
  }

  record Reply(int status, String head, byte[] body) {
    String text() {
      return ascii(body);
    }

    String header(String name) {
      Matcher matcher = Pattern.compile("(?im)^" + name + ":\\s*(.*?)\\s*$").matcher(head);
      return matcher.find() ? matcher.group(1) : "";
    }
  }

  static byte[] uwsgiPacket(Map<String, String> vars, byte[] body) {
    Map<String, String> all = new LinkedHashMap<>(vars);
    all.put("CONTENT_LENGTH", Integer.toString(body.length));
    ByteArrayOutputStream block = new ByteArrayOutputStream();
    all.forEach(
        (name, value) -> {
          for (String text : new String[] {name, value}) {
            block.write(text.length());
            block.write(text.length() >> 8);
            block.writeBytes(latin(text));
          }
        });
    ByteArrayOutputStream packet = new ByteArrayOutputStream();
    packet.write(0);
    packet.write(block.size());
    packet.write(block.size() >> 8);
    packet.write(0);
    packet.writeBytes(block.toByteArray());
    packet.writeBytes(body);
    return packet.toByteArray();
  }

  static Map<String, String> vars(String method, String path, String team, String... more) {
    Map<String, String> vars = new LinkedHashMap<>();
    vars.put("REQUEST_METHOD", method);
    vars.put("PATH_INFO", path);
    vars.put("HTTP_X_TEAM", team);
    for (int i = 0; i < more.length; i += 2) {
      vars.put(more[i], more[i + 1]);
    }
    return vars;
  }

  /** One request of a web server; the status is 0 if the connection ended without an answer. */
  static Reply ask(int port, Map<String, String> vars, byte[] body, int timeoutMs)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2000);
      socket.setSoTimeout(timeoutMs);
      socket.getOutputStream().write(uwsgiPacket(vars, body));
      return readReply(socket.getInputStream());
    }
  }

  static Reply readReply(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      in.transferTo(bytes);
    } catch (IOException e) {
      if (bytes.size() == 0) {
        return new Reply(0, "", new byte[0]);
      }
    }
    String text = bytes.toString(StandardCharsets.ISO_8859_1);
    int end = text.indexOf("\r\n\r\n");
    if (end < 0) {
      return new Reply(0, text, new byte[0]);
    }
    return new Reply(
        Integer.parseInt(text.split(" ")[1]),
        text.substring(0, end + 2),
        latin(text.substring(end + 4)));
  }

  record ServiceRequest(Map<String, String> vars, byte[] body) {}

  interface ServiceHandler {
    void handle(ServiceRequest request, OutputStream out) throws Exception;
  }

  /** A team's uwsgi service. */
  int service(String name, ServiceHandler handler) throws IOException {
    return listen(
        name,
        socket -> {
          InputStream in = socket.getInputStream();
          byte[] head = in.readNBytes(4);
          if (head.length < 4) {
            return;
          }
          byte[] block = in.readNBytes((head[1] & 255) | (head[2] & 255) << 8);
          Map<String, String> vars = new LinkedHashMap<>();
          int at = 0;
          while (at < block.length) {
            String[] pair = new String[2];
            for (int i = 0; i < 2; i++) {
              int length = (block[at] & 255) | (block[at + 1] & 255) << 8;
              pair[i] = new String(block, at + 2, length, StandardCharsets.ISO_8859_1);
              at += 2 + length;
            }
            vars.put(pair[0], pair[1]);
          }
          byte[] body = in.readNBytes(Integer.parseInt(vars.getOrDefault("CONTENT_LENGTH", "0")));
          handler.handle(new ServiceRequest(vars, body), socket.getOutputStream());
        });
  }

  static byte[] httpReply(String contentType, byte[] body) {
    byte[] head =
        latin(
            "HTTP/1.1 200 OK\r\nContent-Type: "
                + contentType
                + "\r\nContent-Length: "
                + body.length
                + "\r\n\r\n");
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  static <T> List<T> list(int count, Function<Integer, T> make) {
    List<T> made = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      made.add(make.apply(i));
    }
    return made;
  }
}
