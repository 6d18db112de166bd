package rosecleat.node;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import rosecleat.config.NamedSettings;
import rosecleat.core.Failure;
import rosecleat.log.Log;
import rosecleat.net.ConnectHandler;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;

/**
 * A balancer on loopback that sends requests of all classes. For use on the event loop of the
 * rehearsal.
 */
final class RehearsalBalancer implements ConnectHandler {
  /** First character of a response. */
  private static final String RESPONSE_START = "*";

  private static final long CONNECT_TIMEOUT_US = 1_000_000;

  /** Time between two requests (us). */
  private static final long REQUEST_INTERVAL_US = 5_000;

  /** First request id; a request id has 16 hexadecimal digits. */
  private static final long FIRST_ID = 1L << 60;

  private final EventLoop loop;
  private final NamedSettings settings;
  private final int requests;
  private final Runnable responseListener;
  private final Log log;

  /**
   * Creates a balancer.
   *
   * @param requests the number of requests to send
   * @param responseListener called for each response
   */
  RehearsalBalancer(
      EventLoop loop, NamedSettings settings, int requests, Runnable responseListener, Log log) {
    this.loop = loop;
    this.settings = settings;
    this.requests = requests;
    this.responseListener = responseListener;
    this.log = log;
  }

  /** Connects to a node and then sends the requests. */
  void connect(InetSocketAddress node) {
    Connection.connect(loop, node, CONNECT_TIMEOUT_US, ConnectionLimits.SMALL, this);
  }

  @Override
  public void connected(Connection connection) {
    connection.start(new LineReader(this::lineReceived));
    for (int i = 1; i <= requests; i++) {
      byte[] request = request(i);
      loop.schedule(i * REQUEST_INTERVAL_US, () -> connection.write(ByteBuffer.wrap(request)));
    }
  }

  private void lineReceived(String line) {
    if (line.startsWith(RESPONSE_START)) {
      responseListener.run();
    }
  }

  @Override
  public void failed(Failure failure) {
    log.warn(failure.message());
  }

  private byte[] request(int number) {
    List<String> classes = settings.classNames();
    List<String> tenants = settings.tenantNames();
    String fields =
        "id="
            + Long.toHexString(FIRST_ID + number)
            + ",at="
            + System.currentTimeMillis()
            + ",from=1,wait=5000,kb=10.5,rank=0.5000,once=key"
            + number
            + (tenants.isEmpty() ? "" : ",tenant=" + tenants.get(0));
    String className = classes.get(number % classes.size());
    return array("DO", Integer.toString(number), className, fields, "body");
  }

  private static byte[] array(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }
}
