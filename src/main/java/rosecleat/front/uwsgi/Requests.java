package rosecleat.front.uwsgi;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import rosecleat.config.Backend;
import rosecleat.config.BrokerConfig;
import rosecleat.config.ServiceOperation;
import rosecleat.core.Request;
import rosecleat.core.Responder;
import rosecleat.core.Runner;

/** Turns the vars and the body of a uwsgi request into the core's request, by its contract. */
final class Requests {
  /** The core's request with its operation, or the reply to what is wrong. */
  record Outcome(Request request, ServiceOperation operation, HttpReply wrong) {}

  /** Callers of this front are numbered from here on, one a team. */
  private static final int CALLERS = 1_000_000;

  /** The runtime takes bodies up to so many bytes. */
  private static final int RUNTIME_BODY = 2 << 10;

  private BrokerConfig config;
  private Routes routes;
  private final Runner runtime;
  private final Runner backends;
  private final SampleRunner samples;
  private final List<String> teams = new ArrayList<>();
  private final SplittableRandom random;
  private final ObjectMapper json = new ObjectMapper();

  Requests(BrokerConfig config, Runner runtime, Runner backends, SampleRunner samples, long seed) {
    this.samples = samples;
    use(config);
    this.runtime = runtime;
    this.backends = backends;
    random = new SplittableRandom(seed);
  }

  void use(BrokerConfig fresh) {
    config = fresh;
    routes = new Routes(fresh.operations());
    samples.use(fresh.operations());
  }

  Outcome read(UwsgiPacket packet, long nowUs, Responder front) {
    String method = packet.var("REQUEST_METHOD");
    String uri = packet.var("REQUEST_URI");
    int mark = uri.indexOf('?');
    String path =
        packet.vars().containsKey("PATH_INFO")
            ? packet.var("PATH_INFO")
            : mark < 0 ? uri : uri.substring(0, mark);
    String query =
        packet.vars().containsKey("QUERY_STRING")
            ? packet.var("QUERY_STRING")
            : mark < 0 ? "" : uri.substring(mark + 1);
    if (method.isEmpty() || path.isEmpty()) {
      return wrong(400, Map.of(), "REQUEST_METHOD or PATH_INFO is missing");
    }
    Routes.Found found = routes.find(method, path);
    ServiceOperation operation = found.operation();
    if (operation == null && method.equals("OPTIONS") && !found.allow().isEmpty()) {
      return new Outcome(
          null, null, new HttpReply(204, Map.of("Allow", found.allow()), new byte[0]));
    }
    if (operation == null) {
      return found.allow().isEmpty()
          ? wrong(404, Map.of(), "no such operation")
          : wrong(405, Map.of("Allow", found.allow()), "the operation has other methods");
    }
    String team = packet.var(config.variables().team());
    Integer tenant = operation.tenantIndexByTeam().get(team);
    if (tenant == null) {
      return wrong(403, Map.of(), "the team has no budget with this service");
    }
    String wait = packet.var(config.variables().deadlineMs());
    if (!wait.matches("([1-9][0-9]{0,8})?")) {
      return wrong(
          400, Map.of(), config.variables().deadlineMs() + " is no number of milliseconds");
    }
    String key = packet.var(config.variables().idempotencyKey());
    if (operation.idempotent() && !key.matches("[0-9A-Za-z_-]{1,64}")) {
      return wrong(400, Map.of(), config.variables().idempotencyKey() + " is missing or malformed");
    }
    byte[] body =
        operation.backend() == null
            ? payload(packet.body(), found.parameters(), query)
            : packet.body();
    if (body == null) {
      return wrong(400, Map.of(), "QUERY_STRING is malformed");
    }
    if (operation.backend() == null && body.length > RUNTIME_BODY) {
      return wrong(413, Map.of(), "the body is too long");
    }
    long waitUs =
        wait.isEmpty()
            ? operation.deadlineUs()
            : Math.min(operation.deadlineUs(), 1000 * Long.parseLong(wait));
    Request request =
        new Request(
            id(),
            nowUs,
            waitUs,
            operation.classIndex(),
            operation.className(),
            tenant,
            caller(team),
            packet.var(config.variables().retry()).equals("1"),
            operation.memoryKb(),
            operation.rank(),
            operation.idempotent() ? key : null,
            0,
            body,
            operation.backend() == null ? Map.of() : passedOn(packet, operation, nowUs),
            operation.backend() == null
                ? runtime
                : operation.backend() instanceof Backend.Sample ? samples : backends,
            front);
    return new Outcome(request, operation, null);
  }

  /**
   * What the runtime is given: the body as it came, or the parameters as JSON where there is no
   * body.
   */
  private byte[] payload(byte[] body, Map<String, String> parameters, String query) {
    if (body.length > 0 || parameters.isEmpty() && query.isEmpty()) {
      return body;
    }
    Map<String, String> all = new LinkedHashMap<>();
    try {
      for (String pair : query.split("&")) {
        int equals = pair.indexOf('=');
        if (!pair.isEmpty()) {
          all.put(
              decoded(equals < 0 ? pair : pair.substring(0, equals)),
              equals < 0 ? "" : decoded(pair.substring(equals + 1)));
        }
      }
      all.putAll(parameters); // the path says what is asked about; a query must not change that
      return json.writeValueAsBytes(all);
    } catch (IllegalArgumentException | JsonProcessingException e) {
      return null;
    }
  }

  private static String decoded(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static Map<String, String> passedOn(
      UwsgiPacket packet, ServiceOperation operation, long nowUs) {
    Map<String, String> vars = new HashMap<>(packet.vars());
    vars.remove("CONTENT_LENGTH"); // the client writes its own
    vars.put("REQUEST_METHOD", operation.method()); // a HEAD is asked for by its GET
    vars.put(UwsgiRunner.OPERATION, operation.id());
    if (operation.backend() instanceof Backend.Uwsgi uwsgi) {
      vars.put(
          UwsgiRunner.BACKEND, uwsgi.address().getHostString() + ":" + uwsgi.address().getPort());
    } else if (operation.backend() instanceof Backend.Fleet fleet) {
      vars.put(UwsgiRunner.SERVICE, fleet.service());
      vars.put(UwsgiRunner.UNTIL, Long.toString(nowUs + operation.idempotencyWindowUs()));
    }
    return vars;
  }

  private long caller(String team) {
    if (!teams.contains(team)) {
      teams.add(team);
    }
    return CALLERS + teams.indexOf(team);
  }

  private String id() {
    return String.format("%016x", random.nextLong());
  }

  private static Outcome wrong(int status, Map<String, String> headers, String why) {
    return new Outcome(null, null, HttpReply.words(status, headers, why));
  }
}
