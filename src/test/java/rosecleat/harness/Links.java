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
 * The links between the processes of a site. The processes reach one another only through relays,
 * which identify the sender and can drop, duplicate, delay and throttle its traffic, or disconnect
 * one or both directions.
 */
final class Links implements AutoCloseable {
  /** The condition of one direction; loss and duplication are probabilities. */
  record LinkCondition(
      double loss, double duplication, int delayMs, boolean cut, int bytesPerSecond) {
    static final LinkCondition CLEAR = new LinkCondition(0, 0, 0, false, 0);
    static final LinkCondition CUT = new LinkCondition(0, 0, 0, true, 0);
  }

  /**
   * Returns the condition from one process to another by their numbers; an unknown sender has -1.
   */
  interface LinkConditions {
    LinkCondition of(int from, int to);
  }

  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private final List<DatagramSocket> datagrams = new ArrayList<>();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(r -> daemon(r));
  private final int[] listenPorts;
  private final int[] advertisedPorts;
  private final Random random = new Random(7);
  final AtomicInteger interruptedExchanges = new AtomicInteger();

  /**
   * Interrupts each exchange of another kind than membership after this number of bytes; 0 for
   * never.
   */
  volatile int bytesBeforeInterruption;

  private volatile LinkConditions conditions = (from, to) -> LinkCondition.CLEAR;
  private volatile boolean closed;

  /** Starts relays on the advertised ports, which forward to processes on their listen ports. */
  Links(int[] listenPorts, int[] advertisedPorts) throws IOException {
    this.listenPorts = listenPorts;
    this.advertisedPorts = advertisedPorts;
    for (int i = 0; i < listenPorts.length; i++) {
      int to = i;
      DatagramSocket udp = new DatagramSocket(new InetSocketAddress(LOOPBACK, advertisedPorts[i]));
      ServerSocket tcp = new ServerSocket(advertisedPorts[i], 50, LOOPBACK);
      datagrams.add(udp);
      servers.add(tcp);
      daemon(() -> relayDatagrams(udp, to)).start();
      daemon(() -> accept(tcp, to)).start();
    }
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    return thread;
  }

  /** Sets the conditions; open connections on disconnected links are closed. */
  void setConditions(LinkConditions updated) {
    conditions = updated;
    for (Pipe pipe : pipes) {
      if (updated.of(pipe.sender, pipe.receiver).cut
          || updated.of(pipe.receiver, pipe.sender).cut) {
        pipe.close();
      }
    }
  }

  private void relayDatagrams(DatagramSocket udp, int to) {
    byte[] buffer = new byte[65_536];
    while (!closed) {
      try {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        udp.receive(packet);
        int from = -1;
        for (int i = 0; i < listenPorts.length; i++) {
          from = packet.getPort() == listenPorts[i] ? i : from;
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
          scheduler.schedule(() -> send(udp, bytes, listenPorts[to]), wait, TimeUnit.MILLISECONDS);
        }
      } catch (IOException e) {
        if (closed) {
          return;
        }
      }
    }
  }

  /** Sends a datagram to a process from a port that belongs to no process. */
  void sendGarbage(int to, byte[] bytes) throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      send(socket, bytes, listenPorts[to]);
    }
  }

  private static void send(DatagramSocket from, byte[] bytes, int port) {
    try {
      from.send(new DatagramPacket(bytes, bytes.length, LOOPBACK, port));
    } catch (IOException e) {
      return; // The process does not listen.
    }
  }

  private void accept(ServerSocket tcp, int to) {
    while (!closed) {
      try {
        Socket socket = tcp.accept();
        daemon(() -> relayConnection(socket, to)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Relays a connection; its first frame identifies the sender. */
  private void relayConnection(Socket socket, int to) {
    try (socket;
        Socket target = new Socket()) {
      socket.setSoTimeout(5_000);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      int kind = in.read();
      byte[] frame = new byte[in.readInt()];
      in.readFully(frame);
      int port =
          SyncFrame.parseFrom(java.util.Arrays.copyOfRange(frame, 8, frame.length))
              .getFrom()
              .getPort(); // The frame starts with a hash of 8 bytes.
      int from = -1;
      for (int i = 0; i < advertisedPorts.length; i++) {
        from = advertisedPorts[i] == port || listenPorts[i] == port ? i : from;
      }
      if (conditions.of(from, to).cut || conditions.of(to, from).cut) {
        return;
      }
      target.connect(new InetSocketAddress(LOOPBACK, listenPorts[to]), 1_000);
      Pipe pipe = new Pipe(from, to, kind, socket, target);
      pipes.add(pipe);
      new DataOutputStream(target.getOutputStream()).write(header(kind, frame));
      Thread back = daemon(() -> pipe.copy(target, socket));
      back.start();
      pipe.copy(socket, target);
      back.join(10_000);
      pipes.remove(pipe);
    } catch (IOException | InterruptedException e) {
      return; // Closing both sockets ends the connection for both processes.
    }
  }

  private static byte[] header(int kind, byte[] frame) {
    return java.nio.ByteBuffer.allocate(5 + frame.length)
        .put((byte) kind)
        .putInt(frame.length)
        .put(frame)
        .array();
  }

  /** One relayed connection: the sender's socket and the one forwarded to the receiver. */
  private final class Pipe {
    final int sender;
    final int receiver;
    private final int kind;
    private final Socket opened;
    private final Socket forwarded;
    private int passed;

    Pipe(int sender, int receiver, int kind, Socket opened, Socket forwarded) {
      this.sender = sender;
      this.receiver = receiver;
      this.kind = kind;
      this.opened = opened;
      this.forwarded = forwarded;
    }

    void copy(Socket in, Socket out) {
      byte[] buffer = new byte[8_192];
      try {
        in.setSoTimeout(0);
        InputStream source = in.getInputStream();
        OutputStream sink = out.getOutputStream();
        for (int count = source.read(buffer); count >= 0; count = source.read(buffer)) {
          int maxBytes = kind == 1 ? 0 : bytesBeforeInterruption;
          passed += count;
          if (maxBytes > 0 && passed > maxBytes) {
            sink.write(buffer, 0, Math.max(0, count - (passed - maxBytes)));
            interruptedExchanges.incrementAndGet();
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
        opened.close();
        forwarded.close();
      } catch (IOException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    scheduler.shutdownNow();
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
