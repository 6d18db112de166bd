package rosecleat.fakes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A blocking server for fakes of external systems, with one thread per connection. */
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
      // The peer or the test closed the connection.
    } finally {
      open.remove(socket);
    }
  }

  /** Serves one connection until it ends. */
  protected abstract void serve(Socket socket) throws IOException;

  /** Returns the port of the server socket. */
  public int port() {
    return server.getLocalPort();
  }

  /** Listens on another port from now on; established connections stay open. */
  public void moveToAnotherPort() {
    stopListening();
    listen(0);
  }

  /** Stops listening and closes all connections. */
  public void down() {
    stopListening();
    closeConnections();
  }

  /** Listens again on the previous port. */
  public void up() {
    listen(server.getLocalPort());
  }

  /**
   * Closes the server socket and waits for the accepting thread. Until its accept call returns, the
   * operating system still accepts connections to the closed socket, so a test that expects refused
   * connections would reach a server that answers.
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

  /** Closes all connections; the server still listens. */
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
    Thread thread = new Thread(task, "fake server");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
