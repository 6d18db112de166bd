package rosecleat.fleet.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import rosecleat.fleet.Endpoint;
import rosecleat.log.Log;

/**
 * The UDP and TCP sockets of a member, both on one address. While another process uses the
 * configured port (during a takeover, or by mistake), a free port is used and binding the
 * configured one is retried regularly.
 */
final class FleetSockets {
  private static final long REBIND_INTERVAL_US = 500_000;
  private static final int MAX_FREE_PORT_ATTEMPTS = 16;
  private static final int ACCEPT_BACKLOG = 64;
  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private final InetSocketAddress listen;
  private final InetSocketAddress advertise;
  private final Selector selector;
  private final Log log;
  private DatagramChannel datagrams;
  private ServerSocketChannel listener;
  private Endpoint endpoint;
  private boolean onFreePort;
  private long nextRebindUs;

  FleetSockets(InetSocketAddress listen, InetSocketAddress advertise, Selector selector, Log log) {
    this.listen = listen;
    this.advertise = advertise;
    this.selector = selector;
    this.log = log;
  }

  static Endpoint endpointOf(InetSocketAddress address) {
    return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
  }

  /** Opens both sockets, on a free port if the configured one is in use. */
  void bind(long nowUs) throws IOException {
    try {
      open(listen);
      endpoint = endpointOf(advertise);
      if (listen.getPort() == 0) {
        endpoint = new Endpoint(endpoint.host(), port());
      }
    } catch (IOException e) {
      bindFreePort();
      onFreePort = true;
      nextRebindUs = nowUs + REBIND_INTERVAL_US;
      log.warn(
          "fleet: could not listen on the configured address "
              + listen
              + " ("
              + e.getMessage()
              + "); reachable at "
              + endpoint
              + " until "
              + listen
              + " is free");
    }
  }

  private void bindFreePort() throws IOException {
    for (int attempt = 0; datagrams == null; attempt++) {
      try {
        open(new InetSocketAddress(listen.getAddress(), 0));
      } catch (IOException e) {
        if (attempt == MAX_FREE_PORT_ATTEMPTS) {
          throw e;
        }
      }
    }
    endpoint = new Endpoint(endpointOf(advertise).host(), port());
  }

  private int port() throws IOException {
    return ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  /** Opens both sockets on one address, or neither. */
  private void open(InetSocketAddress address) throws IOException {
    ServerSocketChannel tcp = ServerSocketChannel.open();
    DatagramChannel udp = null;
    try {
      tcp.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      tcp.bind(address, ACCEPT_BACKLOG);
      udp = DatagramChannel.open();
      udp.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      udp.bind(tcp.getLocalAddress());
      tcp.configureBlocking(false);
      udp.configureBlocking(false);
      tcp.register(selector, SelectionKey.OP_ACCEPT);
      udp.register(selector, SelectionKey.OP_READ);
    } catch (IOException e) {
      Closeables.closeQuietly(tcp);
      Closeables.closeQuietly(udp);
      throw e;
    }
    listener = tcp;
    datagrams = udp;
  }

  /** Returns whether the next attempt to bind the configured port is due. */
  boolean isRebindDue(long nowUs) {
    return onFreePort && nowUs >= nextRebindUs;
  }

  /** Moves to the configured port; returns false if it is still in use. */
  boolean rebind(long nowUs) {
    nextRebindUs = nowUs + REBIND_INTERVAL_US;
    ServerSocketChannel formerListener = listener;
    DatagramChannel formerDatagrams = datagrams;
    try {
      open(listen);
    } catch (IOException e) {
      return false;
    }
    Closeables.closeQuietly(formerListener);
    Closeables.closeQuietly(formerDatagrams);
    onFreePort = false;
    endpoint = endpointOf(advertise);
    return true;
  }

  /** Returns the endpoint at which other members currently reach this process. */
  Endpoint endpoint() {
    return endpoint;
  }

  DatagramChannel datagrams() {
    return datagrams;
  }

  ServerSocketChannel listener() {
    return listener;
  }

  void close() {
    Closeables.closeQuietly(listener);
    Closeables.closeQuietly(datagrams);
  }
}
