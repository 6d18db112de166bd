package rosecleat.registry;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.Connector;
import rosecleat.net.EventLoop;

/**
 * Reports this node to the registry of nodes once a second over HTTP/1.1, on one connection for as
 * long as it lasts. A report that failed is repeated before the second is over, as the registry
 * drops nodes that keep silent. Nothing waits for a report: the node serves and drains without its
 * registry. For the loop alone.
 */
public final class RegistryClient {
  private static final long REPORT_INTERVAL_US = 1_000_000;

  /** The time for a response, and for a connect. */
  private static final long RESPONSE_TIMEOUT_US = 900_000;

  private static final long RETRY_DELAY_US = 200_000;

  /** The report that this node drains is retried sooner than the others. */
  private static final long DRAINING_RETRY_DELAY_US = 100_000;

  /** How long the report that this node drains waits for the response to an earlier one. */
  private static final long DRAINING_REPORT_MAX_WAIT_US = 100_000;

  private static final int STATUS_NO_CONTENT = 204;

  private final EventLoop loop;
  private final String name;
  private final Counters counters;
  private final Log log;
  private final Connector connector;

  /** The connection in use, and the parser of what it brings; null while there is none. */
  private Connection connection;

  private HttpResponseParser responses;
  private boolean retryScheduled;
  private boolean awaitingResponse;
  private boolean draining;

  /** Whether another report is due as soon as the one in progress has ended. */
  private boolean followUpDue;

  private Future<?> responseTimeout;

  /** Creates a client for the node of this name; nothing is reported while the address is null. */
  public RegistryClient(
      EventLoop loop, InetSocketAddress address, String name, Counters counters, Log log) {
    this.loop = loop;
    this.name = name;
    this.counters = counters;
    this.log = log;
    connector =
        new Connector(
            loop, address, RESPONSE_TIMEOUT_US, ConnectionLimits.SMALL, new ReportingHandler());
  }

  /** Reports now, and every second from now on. */
  public void start() {
    report();
    loop.schedule(REPORT_INTERVAL_US, this::start);
  }

  /** Reports at once, and from now on, that this node drains. */
  public void startDraining() {
    draining = true;
    report();
  }

  /** Changes the registry's address, null for none; the former one gets no further report. */
  public void setAddress(InetSocketAddress address) {
    if (!connector.setAddress(address)) {
      return;
    }
    Connection former = connection;
    connection = null;
    if (former != null) {
      former.closeGracefully();
    }
    if (awaitingResponse) {
      reportEnded(true);
    }
    report(); // within the second after which the registry would drop this node
  }

  private void report() {
    if (connector.address() == null) {
      return;
    }
    if (awaitingResponse) {
      if (draining && !followUpDue) {
        reportDrainingSoon();
      }
    } else if (connection != null && !connection.isClosed()) {
      sendReport();
    } else {
      connector.connect();
    }
  }

  /** Bounds how long the report that this node drains waits for the one in progress. */
  private void reportDrainingSoon() {
    followUpDue = true;
    Connection used = connection;
    loop.schedule(
        DRAINING_REPORT_MAX_WAIT_US,
        () -> {
          if (followUpDue && connection == used && used != null) {
            used.abort("the roster does not answer, and the notice to leave waits");
          }
        });
  }

  private final class ReportingHandler implements Connector.Handler {
    @Override
    public void connected(Connection established) {
      connection = established;
      responses = new HttpResponseParser();
      established.start(new ResponseReader(established));
      sendReport();
    }

    @Override
    public void connectedToFormerAddress() {
      report();
    }

    @Override
    public void failed(Failure failure, boolean addressChanged) {
      counters.add("roster.failed");
      if (addressChanged) {
        report();
      } else {
        scheduleRetry();
      }
    }
  }

  /** Schedules one retry at a time. */
  private void scheduleRetry() {
    if (retryScheduled) {
      return;
    }
    retryScheduled = true;
    loop.schedule(
        draining ? DRAINING_RETRY_DELAY_US : RETRY_DELAY_US,
        () -> {
          retryScheduled = false;
          if (!awaitingResponse && !connector.connecting()) {
            report();
          }
        });
  }

  /** Reads the responses of one connection for as long as it is the one in use. */
  private final class ResponseReader implements ConnectionHandler {
    private final Connection source;

    ResponseReader(Connection source) {
      this.source = source;
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (connection != source) {
        return; // a response that nothing waits for any more
      }
      if (!responses.append(bytes)) {
        source.abort("the roster sent too much");
      } else if (awaitingResponse) {
        parseResponse(source);
      }
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      if (connection != source) {
        return;
      }
      connection = null;
      if (awaitingResponse) {
        counters.add("roster.failed");
        reportEnded(false);
      }
    }
  }

  private void sendReport() {
    Connection used = connection;
    if (!used.write(encodeReport())) {
      connection = null; // it has ended, which is still to be reported: connect again at once
      report();
      return;
    }
    awaitingResponse = true;
    responses.reset();
    responseTimeout =
        loop.schedule(RESPONSE_TIMEOUT_US, () -> used.abort("the roster does not answer"));
  }

  private ByteBuffer encodeReport() {
    InetSocketAddress address = connector.address();
    String body = "{\"duty\":\"" + (draining ? "off" : "on") + "\"}";
    String request =
        "PUT /roster/"
            + name
            + " HTTP/1.1\r\nHost: "
            + address.getHostString()
            + ":"
            + address.getPort()
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    return ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII));
  }

  private void parseResponse(Connection source) {
    switch (responses.parse()) {
      case COMPLETE -> handleResponse(source);
      case MALFORMED -> source.abort("the roster sent no HTTP");
      default -> {
        // incomplete: more bytes will come, or the timeout
      }
    }
  }

  private void handleResponse(Connection source) {
    int status = responses.status();
    boolean accepted = status == STATUS_NO_CONTENT;
    counters.add(accepted ? "roster.reports" : "roster.failed");
    if (!accepted) {
      log.warn("the roster answered " + status);
    }
    if (responses.connectionCloses() || !accepted) {
      connection = null; // what follows another response is not worth reading
      source.closeGracefully();
    }
    reportEnded(accepted);
  }

  private void reportEnded(boolean succeeded) {
    awaitingResponse = false;
    responseTimeout.cancel(false);
    if (followUpDue) {
      followUpDue = false;
      report();
    } else if (!succeeded) {
      scheduleRetry();
    }
  }
}
