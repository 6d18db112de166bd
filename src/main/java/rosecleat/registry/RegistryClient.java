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
 * Reports this node to the service registry once a second over HTTP/1.1, on one connection for as
 * long as it stays open. A failed report is retried within the same second, because the registry
 * removes nodes that stop reporting. Nothing waits for a report: the node serves and drains without
 * its registry. Used on the event loop only.
 */
public final class RegistryClient {
  private static final long REPORT_INTERVAL_US = 1_000_000;

  /** Timeout of a response, and of a connection attempt. */
  private static final long RESPONSE_TIMEOUT_US = 900_000;

  private static final long RETRY_DELAY_US = 200_000;

  /** Retry delay of the drain report, which is retried sooner than other reports. */
  private static final long DRAINING_RETRY_DELAY_US = 100_000;

  /** Maximum time that the drain report waits for the response to an earlier report. */
  private static final long DRAINING_REPORT_MAX_WAIT_US = 100_000;

  private static final int STATUS_NO_CONTENT = 204;

  private final EventLoop loop;
  private final String name;
  private final Counters counters;
  private final Log log;
  private final Connector connector;

  /** The connection in use, and the parser of its responses; null if there is none. */
  private Connection connection;

  private HttpResponseParser responses;
  private boolean retryScheduled;
  private boolean awaitingResponse;
  private boolean draining;

  /** Whether another report is due as soon as the one in progress ends. */
  private boolean followUpDue;

  private Future<?> responseTimeout;

  /**
   * Creates a client for the node with this name; nothing is reported while the address is null.
   */
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

  /** Reports at once, and every second from now on. */
  public void start() {
    report();
    loop.schedule(REPORT_INTERVAL_US, this::start);
  }

  /** Reports that this node drains, at once and in all later reports. */
  public void startDraining() {
    draining = true;
    report();
  }

  /**
   * Changes the registry's address, null if there is none; the former registry receives no further
   * report.
   */
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
    // must happen within a second, after which the registry would remove this node
    report();
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

  /** Limits how long the drain report waits for the report in progress. */
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

  /** Schedules a retry, unless one is scheduled. */
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

  /** Reads the responses of one connection while it is the connection in use. */
  private final class ResponseReader implements ConnectionHandler {
    private final Connection source;

    ResponseReader(Connection source) {
      this.source = source;
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (connection != source) {
        return; // no report waits for this response any more
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
      // the connection has ended but its handler has not been notified yet: reconnect at once
      connection = null;
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
        // incomplete: more bytes arrive, or the report times out
      }
    }
  }

  private void handleResponse(Connection source) {
    int status = responses.status();
    boolean accepted = status == STATUS_NO_CONTENT;
    counters.add(accepted ? "roster.reports" : "roster.failed");
    if (!accepted) {
      log.warn(
          "service registry rejected a report: status "
              + status
              + ", expected "
              + STATUS_NO_CONTENT);
    }
    if (responses.connectionCloses() || !accepted) {
      // nothing more is read on a connection that closes or on which a report was rejected
      connection = null;
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
