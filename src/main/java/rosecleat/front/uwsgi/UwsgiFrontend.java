package rosecleat.front.uwsgi;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.LongSupplier;
import rosecleat.config.Backend;
import rosecleat.config.BrokerConfig;
import rosecleat.config.ServiceOperation;
import rosecleat.config.UwsgiLimits;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.core.Progress;
import rosecleat.core.RequestHandle;
import rosecleat.core.Response;
import rosecleat.core.Runner;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.ConnectionUsage;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;

/** The second front: uwsgi callers, one request a connection, answered as HTTP. */
public final class UwsgiFrontend {
  private static final String PLAIN = "text/plain; charset=utf-8";

  /** An answer that comes so shortly before it is due was given up on for lack of time (us). */
  private static final long NEARLY_DUE_US = 50_000;

  private static final int HEAD_ROOM = 20 << 10;

  private final EventLoop loop;
  private BrokerConfig config;
  private final Core core;
  private final Counters counters;
  private final LongSupplier clock;
  private final Log log;
  private final Requests requests;
  private final InstanceBalancer instances;
  private Listener listener;
  private final Set<Caller> callers = new LinkedHashSet<>();
  private long replying;

  /** A front that {@link #listen} opens; requests run on the runtime or on uwsgi backends. */
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
    this.instances = instances;
    this.loop = loop;
    this.config = config;
    this.core = core;
    this.clock = clock;
    this.log = log;
    counters = core.counters();
    requests = new Requests(config, runtime, backends, new SampleRunner(loop, core), seed);
  }

  /** Listens where the broker's file says, beside any other process of this node that does. */
  public void listen() throws IOException {
    if (listener != null) {
      return; // it stands, and the other front could not listen
    }
    UwsgiLimits limits = config.limits();
    listener =
        new Listener(
            loop,
            config.listenAddress(),
            config.maxConnections(),
            new ConnectionLimits(
                8 << 10, 64 << 10, limits.responseBytes() + HEAD_ROOM, limits.stallTimeoutUs()),
            this::adopt,
            true);
  }

  /** Accepts what waits, and then nothing more; true when none can come any more. */
  public boolean closeListenerWhenEmpty() {
    return listener == null || listener.closeWhenBacklogEmpty();
  }

  /** Requests read from now on go by these contracts and budgets; where it listens stays. */
  public void reconfigure(BrokerConfig fresh) {
    config = fresh;
    requests.use(fresh);
  }

  /** The port it listens on. */
  public int port() {
    return listener.port();
  }

  /** Connections that are open. */
  public int openConnections() {
    return callers.size();
  }

  /** Bytes of replies that callers have not taken yet. */
  public long bufferedBytes() {
    return replying;
  }

  /**
   * Accepts what waits and then nothing more, once no connection has come for so long; true when
   * none can come.
   */
  public boolean closeListenerWhenQuiet(long quietUs) {
    return listener == null || listener.closeAfterQuietPeriod(quietUs);
  }

  /** Closes the connections on which nothing of a request has come for so long. */
  public void closeSilentConnections(long quietUs) {
    long now = clock.getAsLong();
    for (Caller caller : new ArrayList<>(callers)) {
      if (!caller.parser.begun() && now - caller.acceptedUs >= quietUs) {
        caller.connection.closeGracefully();
      }
    }
  }

  /** Ends every connection in order, as soon as nothing is owed on it. */
  public void closeConnections() {
    callers.forEach(caller -> caller.connection.closeGracefully());
  }

  private void adopt(Connection connection) {
    counters.add("uwsgi.connections");
    Caller caller = new Caller(connection);
    callers.add(caller);
    caller.patience = loop.schedule(config.limits().requestTimeoutUs(), caller::slow);
    connection.start(caller);
  }

  /**
   * One caller with its one request. Its patience ends what takes too long: the request, then the
   * reply.
   */
  private final class Caller implements ConnectionHandler {
    private final Connection connection;
    private final UwsgiParser parser =
        new UwsgiParser(config.limits().packetBytes(), config.limits().bodyBytes());
    private final long acceptedUs = clock.getAsLong();
    private Future<?> patience;
    private RequestHandle handle;
    private ServiceOperation operation;
    private long dueUs;
    private boolean taken;
    private boolean answered;
    private boolean headOnly;
    private int booked;

    Caller(Connection connection) {
      this.connection = connection;
    }

    /** Guards against callers that never finish their request. */
    private void slow() {
      if (!taken) {
        counters.add("uwsgi.slow");
        connection.closeGracefully();
      }
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (taken || !parser.take(bytes)) {
        return; // what comes behind a request is no part of it
      }
      taken = true;
      patience.cancel(false);
      if (parser.status() != 0) {
        reply(HttpReply.words(parser.status(), Map.of(), parser.why()), PLAIN);
        return;
      }
      UwsgiPacket packet = parser.packet();
      if (packet.modifier1() == UwsgiPacket.PING) {
        answered = true;
        connection.write(ByteBuffer.wrap(new byte[] {UwsgiPacket.PING, 0, 0, 1}));
        connection.closeGracefully();
        return;
      }
      request(packet);
    }

    private void request(UwsgiPacket packet) {
      counters.add("uwsgi.requests");
      headOnly = packet.var("REQUEST_METHOD").equals("HEAD");
      Requests.Outcome read = requests.read(packet, clock.getAsLong(), this::answer);
      if (read.wrong() != null) {
        reply(read.wrong(), PLAIN);
        return;
      }
      operation = read.operation();
      dueUs = read.request().arrivedAtUs() + read.request().timeoutUs();
      RequestHandle submitted = core.submit(read.request());
      if (!answered) {
        handle = submitted;
      }
    }

    @Override
    public ConnectionUsage usage() {
      return parser.begun() || taken ? ConnectionUsage.BUSY : ConnectionUsage.UNUSED;
    }

    @Override
    public boolean hasPendingResponses() {
      return taken && !answered;
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      callers.remove(this);
      patience.cancel(false);
      replying -= booked;
      listener.connectionClosed(connection);
      if (failure.progress() != Progress.SENT) {
        counters.add("uwsgi.cut"); // with part of its reply still here
      }
      if (handle != null) {
        handle.cancel(); // the caller closed before its answer
      }
    }

    private void answer(Response answer) {
      answered = true;
      handle = null;
      if (answer instanceof Response.Completed completed) {
        serve(completed.result());
      } else if (answer instanceof Response.Rejected rejected) {
        if (clock.getAsLong() >= dueUs - NEARLY_DUE_US) {
          reply(HttpReply.words(504, progress(Progress.NOT_SENT), "not begun in time"), PLAIN);
          return;
        }
        long seconds = Math.max(1, (rejected.retryAfterUs() + 999_999) / 1_000_000);
        reply(
            HttpReply.words(
                503,
                Map.of(
                    "Retry-After", Long.toString(seconds), "X-Progress", word(Progress.NOT_SENT)),
                "turned away"),
            PLAIN);
      } else if (answer instanceof Response.Failed failed) {
        if (failed.failure().progress().neverRan()
            && operation.backend() instanceof Backend.Fleet fleet
            && instances.hasNoAvailableInstance(
                fleet.service())) { // not a broken backend: there is none
          reply(
              HttpReply.words(
                  503,
                  Map.of("Retry-After", "1", "X-Progress", word(Progress.NOT_SENT)),
                  "no instance of " + fleet.service() + " takes requests"),
              PLAIN);
          return;
        }
        int status =
            switch (failed.cause()) {
              case CALLER -> 400;
              case TIME -> 504;
              case BACKEND -> 502;
            };
        reply(
            HttpReply.words(
                status, progress(failed.failure().progress()), failed.failure().message()),
            PLAIN);
      }
    }

    /** Guards the memory that all callers' replies take together. */
    private void serve(byte[] result) {
      ServiceReply own = operation.backend() == null ? null : ServiceReply.read(result);
      byte[] body =
          own == null
              ? result
              : own.body(); // the runtime's, or of a program that kept bodies alone
      if (body.length > config.limits().responseBytes()
          || replying + body.length > config.limits().bufferedResponseBytes()) {
        counters.add("uwsgi.noroom");
        log.warn("no room for a reply of " + body.length + " bytes, " + replying + " wait");
        reply(HttpReply.words(502, progress(Progress.RAN), "no room for the reply"), PLAIN);
        return;
      }
      booked = body.length;
      replying += booked;
      if (own == null) {
        reply(new HttpReply(200, Map.of(), body), operation.contentType());
      } else {
        write(own.status(), own.head(operation.contentType()), body);
      }
    }

    private void reply(HttpReply reply, String contentType) {
      write(reply.status(), reply.head(contentType), reply.body());
    }

    private void write(int status, ByteBuffer head, byte[] body) {
      answered = true;
      counters.add("uwsgi.status." + status);
      if (connection.write(head) && body.length > 0 && !headOnly) {
        connection.write(ByteBuffer.wrap(body));
      }
      connection.closeGracefully();
      patience.cancel(false);
      patience =
          loop.schedule(
              config.limits().responseTimeoutUs(),
              () -> connection.abort("the reply was not taken in time"));
    }

    private static Map<String, String> progress(Progress progress) {
      return Map.of("X-Progress", word(progress));
    }

    private static String word(Progress progress) {
      return progress.neverRan() ? "never-ran" : progress == Progress.RAN ? "ran" : "may-have-run";
    }
  }
}
