import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for the runtime, the index, the roster and balancers, as PROTOCOL describes them. */
final class StandIns {
  private StandIns() {}

  static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, 128 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** A server that handles each connection on a thread of its own. */
  abstract static class Server {
    final ServerSocket server;

    Server() throws IOException {
      server = new ServerSocket();
      server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    }

    int port() {
      return server.getLocalPort();
    }

    void open() {
      daemon(
          () -> {
            while (!server.isClosed()) {
              try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(
                    () -> {
                      try (socket) {
                        serve(socket);
                      } catch (IOException | RuntimeException e) {
                        // the connection has ended
                      }
                    },
                    "served");
              } catch (IOException e) {
                return;
              }
            }
          },
          "server");
    }

    abstract void serve(Socket socket) throws IOException;
  }

  static String field(String json, String name) {
    Matcher text = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
    if (text.find()) {
      return text.group(1);
    }
    Matcher number = Pattern.compile("\"" + name + "\"\\s*:\\s*([0-9]+)").matcher(json);
    return number.find() ? number.group(1) : "";
  }

  /**
   * The runtime. Runs take a fixed time by class, so many milliseconds as {@link #runMs} says, and
   * make no calls. It has the cores of the settings.
   */
  static final class RuntimeStandIn extends Server {
    final Map<String, Integer> runMs = new ConcurrentHashMap<>();
    volatile long readyAfterMs;

    /** The share of a run's time that it is on a core; the rest waits for the disk. */
    volatile double coreShare = 1;

    final String label;
    final int cores;
    final List<String> starts = new ArrayList<>();
    final long begunMs = System.currentTimeMillis();
    private final List<String> notices = new ArrayList<>();
    private final Map<String, Boolean> running = new HashMap<>();
    private Socket link;
    private final ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "runtime");
              thread.setDaemon(true);
              return thread;
            });

    RuntimeStandIn(String label, int cores) throws IOException {
      this.label = label;
      this.cores = cores;
      open();
    }

    @Override
    void serve(Socket socket) throws IOException {
      BufferedReader lines =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        command(socket, line);
      }
    }

    private synchronized void command(Socket socket, String line) throws IOException {
      String job = field(line, "job");
      switch (field(line, "type")) {
        case "sync" -> {
          link = socket;
          int read = Integer.parseInt(field(line, "n"));
          timer.schedule(
              () -> ready(socket, read),
              Math.max(0, begunMs + readyAfterMs - System.currentTimeMillis()),
              TimeUnit.MILLISECONDS);
        }
        case "start" -> {
          if (running.containsKey(job)) {
            return;
          }
          running.put(job, true);
          String kind = field(line, "kind");
          String data = field(line, "data");
          starts.add(job);
          Rig.note(label + " runs " + job + " " + kind);
          timer.schedule(() -> finish(job, data), runMs.getOrDefault(kind, 300), TimeUnit.MILLISECONDS);
        }
        case "stop" -> {
          if (running.remove(job) != null) {
            Rig.note(label + " stops " + job);
            notice("end", job, "\"state\":\"halted\",\"took\":1,\"data\":\"\"");
          } else {
            send("{\"type\":\"nack\",\"state\":\"stop\",\"job\":\"" + job + "\"}");
          }
        }
        case "gauges" -> {
          double onCores = running.size() * coreShare;
          double busy = Math.min(1, onCores / cores);
          send(
              "{\"type\":\"load\",\"ref\":\"" + field(line, "ref") + "\",\"gauges\":[" + busy + ","
                  + Math.round(onCores) + ",0.1,10]}");
        }
        default -> socket.close();
      }
    }

    private synchronized void ready(Socket socket, int read) {
      if (socket != link) {
        return;
      }
      long upMs = System.currentTimeMillis() - begunMs - readyAfterMs;
      send("{\"type\":\"ready\",\"state\":\"warm\",\"took\":" + Math.max(0, upMs) + "}");
      for (String notice : notices.subList(Math.min(read, notices.size()), notices.size())) {
        send(notice);
      }
    }

    private synchronized void finish(String job, String data) {
      if (running.remove(job) != null) {
        Rig.note(label + " ended " + job);
        notice("end", job, "\"state\":\"ok\",\"took\":300,\"data\":\"" + result(data) + "\"");
      }
    }

    private static String result(String data) {
      String body = new String(Base64.getDecoder().decode(data), StandardCharsets.UTF_8);
      return Base64.getEncoder().encodeToString(("did " + body).getBytes(StandardCharsets.UTF_8));
    }

    private void notice(String type, String job, String rest) {
      String line =
          "{\"type\":\"" + type + "\",\"n\":" + (notices.size() + 1) + ",\"job\":\"" + job + "\"," + rest + "}";
      notices.add(line);
      send(line);
    }

    private void send(String line) {
      try {
        if (link != null) {
          link.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
        }
      } catch (IOException e) {
        // sent again after the next sync
      }
    }

    synchronized int startCount() {
      return starts.size();
    }
  }

  /** The index: answers every call after a short time. */
  static final class IndexStandIn extends Server {
    IndexStandIn() throws IOException {
      open();
    }

    @Override
    void serve(Socket socket) throws IOException {
      DataInputStream input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      for (String line = line(input); line != null; line = line(input)) {
        String[] words = line.split(" ");
        if (words[0].equals("GET")) {
          input.readFully(new byte[Integer.parseInt(words[3]) + 2]);
          socket.getOutputStream().write((words[1] + " HIT 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
        }
      }
    }
  }

  /** The roster: answers every report with 204. */
  static final class RosterStandIn extends Server {
    RosterStandIn() throws IOException {
      open();
    }

    @Override
    void serve(Socket socket) throws IOException {
      DataInputStream input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      int length = 0;
      for (String line = line(input); line != null; line = line(input)) {
        if (line.toLowerCase().startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(15).trim());
        } else if (line.isEmpty()) {
          input.readFully(new byte[length]);
          socket.getOutputStream().write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
      }
    }
  }

  /** Reads a line that ends in CR LF; null at the end of the stream. */
  static String line(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = input.read(); next >= 0; next = input.read()) {
      if (next == '\n') {
        return line.toString().replace("\r", "");
      }
      line.append((char) next);
    }
    return null;
  }

  /** A request that a balancer sent. */
  static final class Sent {
    final String id;
    final String requestClass;
    final long atMs;
    final int waitMs;
    volatile long writtenMs;
    volatile long answeredMs;
    volatile String word = "";
    volatile String body = "";
    volatile int answers;

    Sent(String id, String requestClass, long atMs, int waitMs) {
      this.id = id;
      this.requestClass = requestClass;
      this.atMs = atMs;
      this.waitMs = waitMs;
    }

    /** The last moment for the answer: due time, 80 ms of slack and 50 ms for sockets. */
    long dueMs() {
      return atMs + waitMs + 130;
    }

    boolean lost() {
      return answers == 0 || answeredMs > dueMs();
    }
  }

  /** One connection of a balancer. */
  static final class Connection {
    final String label;
    final Socket socket = new Socket();
    final Map<Long, Sent> open = new ConcurrentHashMap<>();
    volatile boolean bye;
    volatile boolean ended;
    volatile long connectedMs;
    private long lastTag;

    Connection(String label, int port) throws IOException {
      this.label = label;
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2000);
      connectedMs = System.currentTimeMillis();
      daemon(this::read, label);
    }

    /** Sends a request. */
    synchronized Sent send(String requestClass, int waitMs, String once, String body) throws IOException {
      long tag = ++lastTag;
      if (bye || ended) {
        throw new IOException("the connection is ending");
      }
      Sent sent = new Sent(Rig.newId(), requestClass, System.currentTimeMillis(), waitMs);
      String fields =
          "id=" + sent.id + ",at=" + sent.atMs + ",from=1,tenant=wheatland-group,wait=" + waitMs
              + ",kb=24.5,rank=0.5000" + (once == null ? "" : ",once=" + once);
      open.put(tag, sent);
      socket.getOutputStream().write(Rig.array("DO", tag, requestClass, fields, body));
      sent.writtenMs = System.currentTimeMillis();
      Rig.note(label + " sent " + sent.id + " tag " + tag + " " + requestClass + " wait " + waitMs);
      return sent;
    }

    private void read() {
      try (socket) {
        DataInputStream input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        while (true) {
          String head = line(input);
          if (head == null) {
            break;
          }
          String[] words = new String[Integer.parseInt(head.substring(1))];
          for (int i = 0; i < words.length; i++) {
            String length = line(input);
            if (length == null) {
              throw new EOFException();
            }
            byte[] bytes = new byte[Integer.parseInt(length.substring(1))];
            input.readFully(bytes);
            input.readFully(new byte[2]);
            words[i] = new String(bytes, StandardCharsets.UTF_8);
          }
          answer(words);
          synchronized (this) { // no request may be sent once the connection is about to be closed
            ended |= bye && open.isEmpty();
          }
          if (ended) {
            break;
          }
        }
        Rig.note(label + " connection ended");
      } catch (IOException | RuntimeException e) {
        Rig.note(label + " connection ended: " + e.getMessage());
      }
      ended = true;
    }

    private void answer(String[] words) {
      if (words[0].equals("0")) {
        bye = true;
        Rig.note(label + " got BYE");
        return;
      }
      Sent sent = open.remove(Long.parseLong(words[0]));
      if (sent == null) {
        Rig.note(label + " got an answer to nothing: " + String.join(" ", words));
        return;
      }
      sent.answeredMs = System.currentTimeMillis();
      sent.word = words[1];
      sent.body = words.length > 3 ? words[3] : "";
      sent.answers++;
      Rig.note(
          label + " got " + sent.id + " " + words[1] + " after " + (sent.answeredMs - sent.atMs) + " ms");
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // closed
      }
    }
  }
}
