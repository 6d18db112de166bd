package rosecleat.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rosecleat.config.NodeConfig;
import rosecleat.core.Failure;
import rosecleat.log.Log;
import rosecleat.net.ConnectHandler;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;
import rosecleat.net.LineBuffer;
import rosecleat.net.Listener;

/**
 * Serves some made-up requests on loopback, so that the virtual machine meets the classes of a
 * serving node. The build runs it to write them into an archive, from which a node then starts with
 * half the work.
 */
public final class Rehearsal {
  private static final int REQUESTS = 200;
  private static final long PATIENCE_S = 20;
  private static final ConnectionLimits LIMITS = ConnectionLimits.SMALL;

  private final Log log = new Log(System.err);
  private final EventLoop loop;
  private final CountDownLatch answers = new CountDownLatch(REQUESTS);

  private Rehearsal() throws IOException {
    loop = new EventLoop(log);
  }

  /** Rehearses under a configuration; false where not all requests were answered in time. */
  public static boolean run(NodeConfig config) throws IOException {
    JitWarmup.play(config);
    return new Rehearsal().play(config);
  }

  private boolean play(NodeConfig config) throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Listener runtime = new Listener(loop, any, 1, LIMITS, this::runtime);
    InetSocketAddress at = new InetSocketAddress(any.getAddress(), runtime.port());
    try (Node node =
        new Node(
            new NodeConfig(
                config.name(),
                any,
                null,
                at,
                null,
                null,
                config.seed(),
                config.stopTimeoutUs(),
                config.maxSockets(),
                config.settings(),
                config.source()),
            null,
            log)) {
      node.start();
      loop.schedule(
          200_000, () -> balancer(config, new InetSocketAddress(any.getAddress(), node.port())));
      return answers.await(PATIENCE_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      loop.close();
      log.close();
    }
  }

  /** A balancer that sends all requests and counts what comes back. */
  private void balancer(NodeConfig config, InetSocketAddress to) {
    Connection.connect(
        loop,
        to,
        1_000_000,
        LIMITS,
        new ConnectHandler() {
          @Override
          public void connected(Connection connection) {
            LineBuffer lines = new LineBuffer(1 << 16);
            connection.start(
                new Received(
                    bytes -> {
                      lines.append(bytes);
                      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        if (line.startsWith("*")) { // the head of an answer
                          answers.countDown();
                        }
                      }
                    }));
            for (int i = 1; i <= REQUESTS; i++) {
              request(config, connection, i);
            }
          }

          @Override
          public void failed(Failure failure) {
            log.warn(failure.message());
          }
        });
  }

  private void request(NodeConfig config, Connection connection, int i) {
    String tenant =
        config.settings().tenantNames().isEmpty()
            ? ""
            : ",tenant=" + config.settings().tenantNames().get(0);
    String fields =
        "id="
            + Long.toHexString((1L << 60) + i)
            + ",at="
            + System.currentTimeMillis()
            + ",from=1,wait=5000,kb=10.5,rank=0.5000,once=key"
            + i
            + tenant;
    String klass = config.settings().classNames().get(i % config.settings().classNames().size());
    StringBuilder text = new StringBuilder("*5\r\n");
    for (String word : new String[] {"DO", Integer.toString(i), klass, fields, "body"}) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    byte[] bytes = text.toString().getBytes(StandardCharsets.US_ASCII);
    loop.schedule(i * 5_000L, () -> connection.write(ByteBuffer.wrap(bytes)));
  }

  /** A runtime that ends each run at once. */
  private void runtime(Connection connection) {
    LineBuffer lines = new LineBuffer(1 << 16);
    int[] notice = new int[1];
    connection.start(
        new Received(
            bytes -> {
              lines.append(bytes);
              for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                String reply = "";
                if (line.contains("\"sync\"")) {
                  reply = "{\"type\":\"ready\",\"state\":\"warm\",\"took\":1}\n";
                } else if (line.contains("\"gauges\"")) {
                  reply = "{\"type\":\"load\",\"ref\":\"g\",\"gauges\":[0.1,1,0.1,1]}\n";
                } else if (line.contains("\"start\"")) {
                  String job = line.substring(line.indexOf("\"job\":\"") + 7);
                  reply =
                      "{\"type\":\"end\",\"n\":"
                          + ++notice[0]
                          + ",\"job\":\""
                          + job.substring(0, job.indexOf('"'))
                          + "\",\"state\":\"ok\",\"took\":1.5,\"data\":\"Ym9keQ==\"}\n";
                }
                connection.write(ByteBuffer.wrap(reply.getBytes(StandardCharsets.US_ASCII)));
              }
            }));
  }

  /** An owner that only takes bytes. */
  private record Received(java.util.function.Consumer<ByteBuffer> taker)
      implements ConnectionHandler {
    @Override
    public void received(ByteBuffer bytes) {
      taker.accept(bytes);
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {}
  }
}
