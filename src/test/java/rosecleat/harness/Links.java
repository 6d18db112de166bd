package rosecleat.harness;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import rosecleat.fleet.wire.SyncFrame;

/**
 * The links between the processes of a site: each is reached by the others only through a relay
 * here, which knows who sends, and loses, doubles, delays, cuts one way or both, throttles.
 */
final class Links implements AutoCloseable {
  /** What may happen between a sender and a receiver; probabilities, and milliseconds. */
  record LinkCondition(
      double loss, double duplication, int delayMs, boolean cut, int bytesPerSecond) {
    static final LinkCondition CLEAR = new LinkCondition(0, 0, 0, false, 0);
    static final LinkCondition CUT = new LinkCondition(0, 0, 0, true, 0);
  }

  /**
   * Chooses the conditions from one process to another, by their numbers; an unknown sender has -1.
   */
  interface LinkConditions {
    LinkCondition of(int from, int to);
  }

  private static final InetAddress HERE = InetAddress.getLoopbackAddress();
  private final List<DatagramSocket> datagrams = new ArrayList<>();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService later =
      Executors.newSingleThreadScheduledExecutor(r -> daemon(r));
  private final int[] real;
  private final int[] advertised;
  private final Random random = new Random(7);
  final AtomicInteger torn = new AtomicInteger();

  /** Breaks each exchange that is not of members alone after so many bytes; 0 for none. */
  volatile int tearAfter;

  private volatile LinkConditions conditions = (from, to) -> LinkCondition.CLEAR;
  private volatile boolean closed;

  /** Links to processes that listen at these ports, by relays at those. */
  Links(int[] real, int[] advertised) throws IOException {
    this.real = real;
    this.advertised = advertised;
    for (int i = 0; i < real.length; i++) {
      int to = i;
      DatagramSocket udp = new DatagramSocket(new InetSocketAddress(HERE, advertised[i]));
      ServerSocket tcp = new ServerSocket(advertised[i], 50, HERE);
      datagrams.add(udp);
      servers.add(tcp);
      daemon(() -> relay(udp, to)).start();
      daemon(() -> accept(tcp, to)).start();
    }
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    return thread;
  }

  /** The conditions from now on; connections that are cut now end. */
  void setConditions(LinkConditions updated) {
    conditions = updated;
    for (Pipe pipe : pipes) {
      if (updated.of(pipe.sender, pipe.receiver).cut
          || updated.of(pipe.receiver, pipe.sender).cut) {
        pipe.close();
      }
    }
  }

  private void relay(DatagramSocket udp, int to) {
    byte[] buffer = new byte[65_536];
    while (!closed) {
      try {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        udp.receive(packet);
        int from = -1;
        for (int i = 0; i < real.length; i++) {
          from = packet.getPort() == real[i] ? i : from;
        }
        LinkCondition condition = conditions.of(from, to);
        if (condition.cut || random.nextDouble() < condition.loss) {
          continue;
        }
        byte[] bytes = java.util.Arrays.copyOf(packet.getData(), packet.getLength());
        for (int copies = random.nextDouble() < condition.duplication ? 2 : 1;
            copies > 0;
            copies--) {
          int wait = condition.delayMs == 0 ? 0 : random.nextInt(2 * condition.delayMs);
          later.schedule(() -> send(udp, bytes, real[to]), wait, TimeUnit.MILLISECONDS);
        }
      } catch (IOException e) {
        if (closed) {
          return;
        }
      }
    }
  }

  /** Sends bytes to a process as a stranger does. */
  void sendGarbage(int to, byte[] bytes) throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      send(socket, bytes, real[to]);
    }
  }

  private static void send(DatagramSocket from, byte[] bytes, int port) {
    try {
      from.send(new DatagramPacket(bytes, bytes.length, HERE, port));
    } catch (IOException e) {
      return; // nobody is there
    }
  }

  private void accept(ServerSocket tcp, int to) {
    while (!closed) {
      try {
        Socket socket = tcp.accept();
        daemon(() -> converse(socket, to)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Who opens a connection is known from its first frame. */
  private void converse(Socket socket, int to) {
    try (socket;
        Socket on = new Socket()) {
      socket.setSoTimeout(5_000);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      int kind = in.read();
      byte[] frame = new byte[in.readInt()];
      in.readFully(frame);
      int port =
          SyncFrame.parseFrom(java.util.Arrays.copyOfRange(frame, 8, frame.length))
              .getFrom()
              .getPort(); // behind its hash
      int from = -1;
      for (int i = 0; i < advertised.length; i++) {
        from = advertised[i] == port || real[i] == port ? i : from;
      }
      if (conditions.of(from, to).cut || conditions.of(to, from).cut) {
        return;
      }
      on.connect(new InetSocketAddress(HERE, real[to]), 1_000);
      Pipe pipe = new Pipe(from, to, kind, socket, on);
      pipes.add(pipe);
      new DataOutputStream(on.getOutputStream()).write(header(kind, frame));
      Thread back = daemon(() -> pipe.copy(on, socket));
      back.start();
      pipe.copy(socket, on);
      back.join(10_000);
      pipes.remove(pipe);
    } catch (IOException | InterruptedException e) {
      return; // the other side sees its connection end
    }
  }

  private static byte[] header(int kind, byte[] frame) {
    return java.nio.ByteBuffer.allocate(5 + frame.length)
        .put((byte) kind)
        .putInt(frame.length)
        .put(frame)
        .array();
  }

  private final class Pipe {
    final int sender;
    final int receiver;
    private final int kind;
    private final Socket one;
    private final Socket other;
    private int passed;

    Pipe(int sender, int receiver, int kind, Socket one, Socket other) {
      this.sender = sender;
      this.receiver = receiver;
      this.kind = kind;
      this.one = one;
      this.other = other;
    }

    void copy(Socket in, Socket out) {
      byte[] buffer = new byte[8_192];
      try {
        in.setSoTimeout(0);
        InputStream source = in.getInputStream();
        OutputStream sink = out.getOutputStream();
        for (int count = source.read(buffer); count >= 0; count = source.read(buffer)) {
          int tear = kind == 1 ? 0 : tearAfter;
          passed += count;
          if (tear > 0 && passed > tear) {
            sink.write(buffer, 0, Math.max(0, count - (passed - tear)));
            torn.incrementAndGet();
            close();
            return;
          }
          int rate = conditions.of(sender, receiver).bytesPerSecond;
          if (rate > 0) {
            TimeUnit.MILLISECONDS.sleep(1000L * count / rate);
          }
          sink.write(buffer, 0, count);
        }
        out.shutdownOutput();
      } catch (IOException | InterruptedException e) {
        close();
      }
    }

    void close() {
      try {
        one.close();
        other.close();
      } catch (IOException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    later.shutdownNow();
    datagrams.forEach(DatagramSocket::close);
    pipes.forEach(Pipe::close);
    for (ServerSocket server : servers) {
      try {
        server.close();
      } catch (IOException e) {
        return;
      }
    }
  }
}
