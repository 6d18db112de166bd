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
import rosecleat.net.Connection;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;

/**
 * The frontend for uwsgi clients: one request a connection, with an HTTP response. Everything runs
 * on the event loop.
 */
public final class UwsgiFrontend {
  private static final int READ_BUFFER_BYTES = 8 << 10;
  private static final int PAUSE_READING_ABOVE_BYTES = 64 << 10;

  /** What a connection's write queue holds beside a body: the head of the response. */
  private static final int MAX_HEAD_BYTES = 20 << 10;

  private final EventLoop loop;
  private final Core core;
  private final LongSupplier clock;
  private final Log log;
  private final RequestTranslator translator;
  private final InstanceBalancer instances;
  private final ResponseBudget responseBudget = new ResponseBudget();
  private final Set<UwsgiConnection> connections = new LinkedHashSet<>();
  private BrokerConfig config;
  private Listener listener;

  /**
   * Creates a frontend that does not listen yet.
   *
   * @param config the address, the limits and the operations
   * @param runtime executes requests of operations without a backend
   * @param backends executes requests of operations with a service behind them
   * @param instances the instances of services without a fixed address
   * @param clock the Unix time in microseconds
   * @param seed the seed of the request ids
   */
  public UwsgiFrontend(
      EventLoop loop,
      BrokerConfig config,
      Core core,
      Runner runtime,
      Runner backends,
      InstanceBalancer instances,
      LongSupplier clock,
      Log log,
      long seed) {
    this.loop = loop;
    this.config = config;
    this.core = core;
    this.instances = instances;
    this.clock = clock;
    this.log = log;
    SampleRunner samples = new SampleRunner(loop, core);
    translator = new RequestTranslator(config, runtime, backends, samples, seed);
  }

  /**
   * Starts to listen, unless it already does. Other processes of the node may listen at the same
   * address.
   *
   * @throws IOException where the address cannot be bound
   */
  public void listen() throws IOException {
    if (listener != null) {
      return;
    }
    UwsgiLimits limits = config.limits();
    ConnectionLimits connectionLimits =
        new ConnectionLimits(
            READ_BUFFER_BYTES,
            PAUSE_READING_ABOVE_BYTES,
            limits.responseBytes() + MAX_HEAD_BYTES,
            limits.stallTimeoutUs());
    listener =
        new Listener(
            loop,
            config.listenAddress(),
            config.maxConnections(),
            connectionLimits,
            this::accept,
            true);
  }

  /**
   * Serves the requests that arrive from now on by another configuration. The address and the
   * limits of connections that are open stay.
   */
  public void reconfigure(BrokerConfig newConfig) {
    config = newConfig;
    translator.reconfigure(newConfig);
  }

  /** Returns the port it listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  /** Returns the bytes of response bodies that clients have not read yet. */
  public long bufferedBytes() {
    return responseBudget.reservedBytes();
  }

  /**
   * Stops listening once no connection has come for a while and none waits to be accepted.
   *
   * @param quietUs how long no connection must have come, in microseconds
   * @return whether it no longer listens
   */
  public boolean closeListenerWhenQuiet(long quietUs) {
    return listener == null || listener.closeAfterQuietPeriod(quietUs);
  }

  /**
   * Stops listening as soon as no connection waits to be accepted.
   *
   * @return whether it no longer listens
   */
  public boolean closeListenerWhenEmpty() {
    return listener == null || listener.closeWhenBacklogEmpty();
  }

  /**
   * Closes the connections on which nothing has been received.
   *
   * @param silentUs how long such a connection must have been open, in microseconds
   */
  public void closeSilentConnections(long silentUs) {
    long acceptedBeforeUs = clock.getAsLong() - silentUs;
    for (UwsgiConnection connection : new ArrayList<>(connections)) {
      connection.closeIfSilentSince(acceptedBeforeUs);
    }
  }

  /** Closes every connection once its request is answered. */
  public void closeConnections() {
    connections.forEach(UwsgiConnection::closeGracefully);
  }

  private void accept(Connection connection) {
    core.counters().add("uwsgi.connections");
    UwsgiConnection accepted = new UwsgiConnection(this, connection);
    connections.add(accepted);
    accepted.start();
  }

  /** Forgets a connection that has ended. */
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

  /** Returns the limits in force, which a reload replaces. */
  UwsgiLimits limits() {
    return config.limits();
  }

  RequestTranslator translator() {
    return translator;
  }

  InstanceBalancer instances() {
    return instances;
  }

  ResponseBudget responseBudget() {
    return responseBudget;
  }
}
