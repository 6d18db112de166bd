package rosecleat.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;

/**
 * A runtime on loopback that ends each run immediately. For use on the event loop of the rehearsal.
 */
final class RehearsalRuntime {
  private static final String JOB_KEY = "\"job\":\"";
  private static final String READY = "{\"type\":\"ready\",\"state\":\"warm\",\"took\":1}\n";
  private static final String LOAD = "{\"type\":\"load\",\"ref\":\"g\",\"gauges\":[0.1,1,0.1,1]}\n";

  private final Listener listener;

  /** Listens on a free port of an address. */
  RehearsalRuntime(EventLoop loop, InetSocketAddress address) throws IOException {
    listener = new Listener(loop, address, 1, ConnectionLimits.SMALL, RehearsalRuntime::accept);
  }

  /** Returns the port that this runtime listens on. */
  int port() {
    return listener.port();
  }

  private static void accept(Connection connection) {
    int[] lastNumber = new int[1];
    connection.start(
        new LineReader(
            line -> {
              byte[] reply = reply(line, lastNumber).getBytes(StandardCharsets.US_ASCII);
              connection.write(ByteBuffer.wrap(reply));
            }));
  }

  private static String reply(String command, int[] lastNumber) {
    if (command.contains("\"sync\"")) {
      return READY;
    }
    if (command.contains("\"gauges\"")) {
      return LOAD;
    }
    if (command.contains("\"start\"")) {
      String job = command.substring(command.indexOf(JOB_KEY) + JOB_KEY.length());
      lastNumber[0]++;
      return "{\"type\":\"end\",\"n\":"
          + lastNumber[0]
          + ",\"job\":\""
          + job.substring(0, job.indexOf('"'))
          + "\",\"state\":\"ok\",\"took\":1.5,\"data\":\"Ym9keQ==\"}\n";
    }
    return "";
  }
}
