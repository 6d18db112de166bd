package rosecleat.fakes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A blocking server for fakes of outside systems: a thread for each connection. */
public abstract class FakeServer implements AutoCloseable {
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;
  private volatile Thread accepting;

  protected FakeServer() {
    listen(0);
  }

  private void listen(int port) {
    ServerSocket listening;
    try {
      listening = new ServerSocket(port, 200, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    server = listening;
    accepting =
        thread(
            () -> {
              while (!listening.isClosed()) {
                try {
                  Socket socket = listening.accept();
                  socket.setTcpNoDelay(true);
                  open.add(socket);
                  thread(() -> session(socket));
                } catch (IOException e) {
                  return;
                }
              }
            });
  }

  private void session(Socket socket) {
    try (socket) {
      serve(socket);
    } catch (IOException e) {
      // the node closed, or the test did
    } finally {
      open.remove(socket);
    }
  }

  protected abstract void serve(Socket socket) throws IOException;

  public int port() {
    return server.getLocalPort();
  }

  /** Listens at another port from now on; connections made at the old one stay. */
  public void moveToAnotherPort() {
    stopListening();
    listen(0);
  }

  /** Is down: nobody listens, and no connection is left. */
  public void down() {
    stopListening();
    closeConnections();
  }

  /** Is back where it was. */
  public void up() {
    listen(server.getLocalPort());
  }

  /**
   * Waits for the thread that accepts: until its call returns, the system still accepts connections
   * for a socket that was closed, and a test that wants nobody there would meet a server that
   * answers.
   */
  private void stopListening() {
    try {
      server.close();
      accepting.join();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Cuts every connection, and goes on listening. */
  public void closeConnections() {
    for (Socket socket : open) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }

  @Override
  public void close() {
    stopListening();
    closeConnections();
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
