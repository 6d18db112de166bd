package rosecleat.front.uwsgi;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.config.UwsgiLimits;
import rosecleat.core.Core;
import rosecleat.core.Runner;
import rosecleat.log.Log;
import rosecleat.net.ClientMemory;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;

/**
 * The frontend for uwsgi clients. Each connection carries one request and its HTTP response. All
 * methods must be called on the event loop.
 */
public final class UwsgiFrontend {
  private static final int PAUSE_READING_ABOVE_BYTES = 64 << 10;

  /** The write queue's capacity for the head of a response, in addition to the body. */
  private static final int MAX_HEAD_BYTES = 20 << 10;

  private final EventLoop loop;
  private final Core core;
  private final LongSupplier clock;
  private final Log log;
  private final RequestTranslator translator;
  private final InstanceBalancer instances;
  private final int maxConnections;
  private final ClientMemory clientMemory;
  private final ResponseBudget responseBudget = new ResponseBudget();
  private final Set<UwsgiConnection> connections = new LinkedHashSet<>();
  private BrokerConfig config;
  private Listener listener;

  /**
   * Creates a frontend that does not listen yet.
   *
   * @param config the address, the limits and the operations
   * @param maxConnections the most connections that may be open at a time
   * @param clientMemory the memory that clients may occupy, shared with other frontends
   * @param runtime executes requests of operations without a backend
   * @param backends executes requests of operations that a uwsgi service implements
   * @param instances the instances of services without a fixed address
   * @param clock the Unix time in microseconds
   * @param seed the seed of the generator of request ids
   */
  public UwsgiFrontend(
      EventLoop loop,
      BrokerConfig config,
      int maxConnections,
      ClientMemory clientMemory,
      Core core,
      Runner runtime,
      Runner backends,
      InstanceBalancer instances,
      LongSupplier clock,
      Log log,
      long seed) {
    this.loop = loop;
    this.config = config;
    this.maxConnections = maxConnections;
    this.clientMemory = clientMemory;
    this.core = core;
    this.instances = instances;
    this.clock = clock;
    this.log = log;
    SampleRunner samples = new SampleRunner(loop, core);
    translator = new RequestTranslator(config, runtime, backends, samples, seed);
  }

  /**
   * Starts to listen, unless this frontend already listens. Other processes of the node may listen
   * on the same address.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen() throws IOException {
    if (listener != null) {
      return;
    }
    UwsgiLimits limits = config.limits();
    ConnectionLimits connectionLimits =
        new ConnectionLimits(
            clientMemory.readBufferBytes(),
            PAUSE_READING_ABOVE_BYTES,
            limits.responseBytes() + MAX_HEAD_BYTES,
            limits.stallTimeoutUs(),
            clientMemory.readAhead(),
            clientMemory.output());
    listener =
        new Listener(
            loop, config.listenAddress(), maxConnections, connectionLimits, this::accept, true);
  }

  /**
   * Applies a new configuration to all later requests. The address, the maximum number of
   * connections and the limits must equal those of the current configuration: changing them needs a
   * restart.
   */
  public void reconfigure(BrokerConfig newConfig) {
    config = newConfig;
    translator.reconfigure(newConfig, clock.getAsLong());
  }

  /** Returns the port that this frontend listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  /** Returns how many bytes of response bodies clients have not read yet. */
  public long bufferedBytes() {
    return responseBudget.reservedBytes();
  }

  /**
   * Stops listening once no connection has arrived for a period and none waits to be accepted.
   *
   * @param quietUs the period without a new connection, in microseconds
   * @return whether this frontend no longer listens
   */
  public boolean closeListenerWhenQuiet(long quietUs) {
    return listener == null || listener.closeAfterQuietPeriod(quietUs);
  }

  /**
   * Stops listening as soon as no connection waits to be accepted.
   *
   * @return whether this frontend no longer listens
   */
  public boolean closeListenerWhenEmpty() {
    return listener == null || listener.closeWhenBacklogEmpty();
  }

  /**
   * Closes the connections on which nothing has been received.
   *
   * @param silentUs the least time since such a connection was accepted, in microseconds
   */
  public void closeSilentConnections(long silentUs) {
    long acceptedBeforeUs = clock.getAsLong() - silentUs;
    for (UwsgiConnection connection : new ArrayList<>(connections)) {
      connection.closeIfSilentSince(acceptedBeforeUs);
    }
  }

  /** Closes each connection once its request has been answered. */
  public void closeConnections() {
    connections.forEach(UwsgiConnection::closeGracefully);
  }

  private void accept(Connection connection) {
    core.counters().add("uwsgi.connections");
    UwsgiConnection accepted = new UwsgiConnection(this, connection);
    connections.add(accepted);
    accepted.start();
  }

  /** Removes a connection that has been closed. */
  void connectionClosed(UwsgiConnection closed, Connection connection) {
    connections.remove(closed);
    listener.connectionClosed(connection);
  }

  EventLoop loop() {
    return loop;
  }

  Core core() {
    return core;
  }

  LongSupplier clock() {
    return clock;
  }

  Log log() {
    return log;
  }

  /** Returns the limits of the current configuration. */
  UwsgiLimits limits() {
    return config.limits();
  }

  RequestTranslator translator() {
    return translator;
  }

  InstanceBalancer instances() {
    return instances;
  }

  ClientMemory clientMemory() {
    return clientMemory;
  }

  ResponseBudget responseBudget() {
    return responseBudget;
  }
}
