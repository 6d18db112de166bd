package rosecleat.flood;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * Many clients on one thread. Each sends the same bytes at most {@code bytesPerWrite} at a time,
 * and connects again whenever its connection has ended.
 */
final class BadClients {
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 4 << 10;
  private static final long SELECT_MS = 20;

  private final InetSocketAddress address;
  private final int connections;
  private final byte[] bytes;
  private final int bytesPerWrite;
  private final boolean reads;
  private final ByteBuffer input = ByteBuffer.allocate(64 << 10);

  /**
   * Creates clients that have not connected yet.
   *
   * @param connections the number of connections at a time
   * @param bytesPerWrite the most bytes that a client writes in {@link #SELECT_MS}, if {@code slow}
   * @param reads whether the clients read what the node sends
   */
  BadClients(int port, int connections, byte[] bytes, int bytesPerWrite, boolean reads) {
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    this.connections = connections;
    this.bytes = bytes;
    this.bytesPerWrite = bytesPerWrite;
    this.reads = reads;
  }

  /** Returns clients that write as fast as they can. */
  static BadClients fast(int port, int connections, byte[] bytes) {
    return new BadClients(port, connections, bytes, bytes.length, true);
  }

  /** Acts for some time, then closes all connections. */
  void run(long durationMs) throws IOException {
    long untilNs = System.nanoTime() + durationMs * 1_000_000;
    try (Selector selector = Selector.open()) {
      while (System.nanoTime() < untilNs) {
        connect(selector);
        selector.select(SELECT_MS);
        for (SelectionKey key : selector.selectedKeys()) {
          continueOn(key);
        }
        selector.selectedKeys().clear();
        selector.selectNow(); // forgets closed connections
        if (bytesPerWrite < bytes.length) {
          pause();
        }
      }
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(SELECT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void connect(Selector selector) throws IOException {
    for (int open = selector.keys().size(); open < connections; open++) {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      if (!reads) {
        channel.setOption(StandardSocketOptions.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES);
      }
      channel.connect(address);
      channel.register(selector, SelectionKey.OP_CONNECT, ByteBuffer.wrap(bytes));
    }
  }

  private void continueOn(SelectionKey key) throws IOException {
    try {
      if (key.isConnectable()) {
        ((SocketChannel) key.channel()).finishConnect();
        key.interestOps((reads ? SelectionKey.OP_READ : 0) | SelectionKey.OP_WRITE);
      } else {
        exchange(key);
      }
    } catch (IOException e) {
      key.channel().close();
    }
  }

  private void exchange(SelectionKey key) throws IOException {
    SocketChannel channel = (SocketChannel) key.channel();
    ByteBuffer output = (ByteBuffer) key.attachment();
    if (key.isWritable()) {
      output.limit(Math.min(bytes.length, output.position() + bytesPerWrite));
      channel.write(output);
      boolean done = output.position() == bytes.length;
      key.interestOps(done ? key.interestOps() & ~SelectionKey.OP_WRITE : key.interestOps());
    }
    if (reads && key.isReadable()) {
      input.clear();
      if (channel.read(input) < 0) {
        channel.close();
      }
    }
  }
}
