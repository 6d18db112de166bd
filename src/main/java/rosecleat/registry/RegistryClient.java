package rosecleat.registry;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.Future;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.log.Log;
import rosecleat.net.ConnectHandler;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;
import rosecleat.net.LineBuffer;

/**
 * Reports this node to the roster once a second over HTTP/1.1, on one connection for as long as it
 * lasts.
 */
public final class RegistryClient {
  private static final long EACH_US = 1_000_000;
  private static final long REPLY_US = 900_000;

  /**
   * A roster that can't be reached is tried again so soon: the notice to leave sooner than other
   * reports (us).
   */
  private static final long REDIAL_US = 200_000;

  private static final long REDIAL_LEAVING_US = 100_000;

  /** How long the notice to leave waits for the answer to an earlier report (us). */
  private static final long HURRY_US = 100_000;

  private static final int LONGEST = 16 << 10;

  private final EventLoop loop;
  private final String name;
  private final Counters counters;
  private final Log log;
  private InetSocketAddress address;
  private Connection connection;
  private LineBuffer lines;
  private boolean dialling;
  private boolean redialling;
  private boolean waiting;
  private boolean on = true;
  private boolean again;
  private Future<?> patience;
  private Reply reply;

  /** The head of a reply as far as it has been read. */
  private static final class Reply {
    int status;
    int length;
    boolean whole;
    boolean closes;
  }

  /** A client for the node of this name; it reports nothing while the address is null. */
  public RegistryClient(
      EventLoop loop, InetSocketAddress address, String name, Counters counters, Log log) {
    this.loop = loop;
    this.address = address;
    this.name = name;
    this.counters = counters;
    this.log = log;
  }

  /** Begins to report, each second from now on. */
  public void start() {
    report();
    loop.schedule(EACH_US, this::start);
  }

  /** Reports at once, and from now on, that this node leaves. */
  public void startDraining() {
    on = false;
    report();
  }

  /** The roster is elsewhere from now on; the old one is told nothing more. */
  public void setAddress(InetSocketAddress to) {
    if (Objects.equals(to, address)) {
      return;
    }
    address = to;
    Connection old = connection;
    connection = null;
    if (old != null) {
      old.closeGracefully();
    }
    if (waiting) {
      done(true);
    }
    report(); // within the second after which the list would drop this node
  }

  private void report() {
    if (address == null) {
      return;
    }
    if (waiting) {
      if (!on && !again) { // the notice to leave must not wait a second for its turn
        again = true;
        Connection used = connection;
        loop.schedule(
            HURRY_US,
            () -> {
              if (again && connection == used && used != null) {
                used.abort("the roster does not answer, and the notice to leave waits");
              }
            });
      }
      return;
    }
    if (connection != null && !connection.isClosed()) {
      send();
    } else if (!dialling) {
      dial(address);
    }
  }

  private void dial(InetSocketAddress to) {
    dialling = true;
    Connection.connect(
        loop,
        to,
        REPLY_US,
        ConnectionLimits.SMALL,
        new ConnectHandler() {
          @Override
          public void connected(Connection fresh) {
            dialling = false;
            if (!to.equals(address)) { // it has moved meanwhile
              fresh.abort("the roster has moved");
              report();
              return;
            }
            adopt(fresh);
            send();
          }

          @Override
          public void failed(Failure failure) {
            dialling = false;
            counters.add("roster.failed");
            if (!to.equals(address)) {
              report();
            } else {
              redial();
            }
          }
        });
  }

  /**
   * One attempt at a time, and never one that anything waits for: the node serves and leaves
   * without its roster.
   */
  private void redial() {
    if (!redialling) {
      redialling = true;
      loop.schedule(
          on ? REDIAL_US : REDIAL_LEAVING_US,
          () -> {
            redialling = false;
            if (!waiting && !dialling) {
              report();
            }
          });
    }
  }

  private void adopt(Connection fresh) {
    connection = fresh;
    lines = new LineBuffer(LONGEST);
    fresh.start(
        new ConnectionHandler() {
          @Override
          public void received(ByteBuffer bytes) {
            if (connection != fresh) {
              return; // an answer to a report that nobody waits for any more
            }
            if (!lines.append(bytes) || lines.lineTooLong()) {
              fresh.abort("the roster sent too much");
              return;
            }
            read(fresh);
          }

          @Override
          public void closed(Failure failure, boolean endOfStream) {
            if (connection == fresh) {
              connection = null;
              if (waiting) {
                counters.add("roster.failed");
                done(false);
              }
            }
          }
        });
  }

  private void send() {
    byte[] body =
        ("{\"duty\":\"" + (on ? "on" : "off") + "\"}").getBytes(StandardCharsets.US_ASCII);
    String head =
        "PUT /roster/"
            + name
            + " HTTP/1.1\r\nHost: "
            + address.getHostString()
            + ":"
            + address.getPort()
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    byte[] start = head.getBytes(StandardCharsets.US_ASCII);
    Connection used = connection;
    if (!used.write(ByteBuffer.allocate(start.length + body.length).put(start).put(body).flip())) {
      connection =
          null; // it has ended, and that is still to be told: another one is dialled, and nothing
      // waited for
      report();
      return;
    }
    waiting = true;
    reply = new Reply();
    patience = loop.schedule(REPLY_US, () -> used.abort("the roster does not answer"));
  }

  private void read(Connection from) {
    while (waiting) {
      if (reply.whole) {
        if (lines.readBlock(reply.length) == null) {
          return;
        }
        finished(from);
        return;
      }
      String line = lines.readLine();
      if (line == null) {
        return;
      }
      if (!head(line.trim())) {
        from.abort("the roster sent no HTTP");
        return;
      }
    }
  }

  private boolean head(String line) {
    if (reply.status == 0) {
      String[] words = line.split(" ");
      if (words.length < 2
          || !words[0].startsWith("HTTP/1.")
          || !words[1].matches("[1-5][0-9][0-9]")) {
        return false;
      }
      reply.status = Integer.parseInt(words[1]);
      return true;
    }
    String lower = line.toLowerCase(Locale.ROOT);
    if (line.isEmpty()) {
      if (reply.status < 200) { // an interim reply: the final one follows
        reply = new Reply();
      } else {
        reply.whole = true;
      }
    } else if (lower.startsWith("content-length:")) {
      String length = lower.substring(15).trim();
      if (!length.matches("[0-9]{1,4}")) {
        return false;
      }
      reply.length = Integer.parseInt(length);
    } else if (lower.startsWith("connection:") && lower.contains("close")) {
      reply.closes = true;
    }
    return true;
  }

  private void finished(Connection from) {
    counters.add(reply.status == 204 ? "roster.reports" : "roster.failed");
    if (reply.status != 204) {
      log.warn("the roster answered " + reply.status);
    }
    if (reply.closes
        || reply.status != 204) { // what comes behind another answer is not worth reading
      connection = null;
      from.closeGracefully();
    }
    done(reply.status == 204);
  }

  /**
   * A report has come to its end: one that failed is made again before the second is over, as the
   * list drops who keeps silent.
   */
  private void done(boolean good) {
    waiting = false;
    patience.cancel(false);
    if (again) {
      again = false;
      report();
    } else if (!good) {
      redial();
    }
  }
}
