package rosecleat.front.uwsgi;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.regex.Pattern;
import rosecleat.config.Backend;
import rosecleat.config.BrokerConfig;
import rosecleat.config.ServiceOperation;
import rosecleat.config.UwsgiVariables;
import rosecleat.core.Request;
import rosecleat.core.RequestIdentity;
import rosecleat.core.RequestIdentity.ClassAndTenant;
import rosecleat.core.Responder;
import rosecleat.core.Runner;
import rosecleat.core.SentRequest;

/**
 * Translates uwsgi requests into requests of the core, according to the contracts and budgets of
 * the current configuration. All methods must be called on the event loop.
 */
final class RequestTranslator {
  /** The first caller id of a team; the platform's load balancers use lower caller ids. */
  private static final int FIRST_CALLER_ID = 1_000_000;

  private static final Pattern TIMEOUT_MS_PATTERN = Pattern.compile("([1-9][0-9]{0,8})?");
  private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[0-9A-Za-z_-]{1,64}");
  private static final long US_PER_MS = 1_000;

  private final Runner runtime;
  private final Runner backends;
  private final SampleRunner samples;
  private final SplittableRandom random;
  private final RuntimePayload payloads = new RuntimePayload();
  private final Map<String, Integer> callerIds = new HashMap<>();
  private final FormerContracts formerContracts = new FormerContracts();
  private BrokerConfig config;
  private OperationRouter router;

  /**
   * Creates a translator.
   *
   * @param runtime executes the requests of operations without a backend
   * @param backends executes the requests of operations that a uwsgi service implements
   * @param samples executes the requests of operations that respond with an example
   * @param seed the seed of the generator of request ids
   */
  RequestTranslator(
      BrokerConfig config, Runner runtime, Runner backends, SampleRunner samples, long seed) {
    this.runtime = runtime;
    this.backends = backends;
    this.samples = samples;
    random = new SplittableRandom(seed);
    apply(config);
  }

  /**
   * Applies a new configuration to all later requests.
   *
   * @param nowUs the Unix time in microseconds
   */
  void reconfigure(BrokerConfig newConfig, long nowUs) {
    formerContracts.supersede(config, newConfig, nowUs);
    apply(newConfig);
  }

  private void apply(BrokerConfig newConfig) {
    config = newConfig;
    router = new OperationRouter(newConfig.operations());
    samples.reconfigure(newConfig.operations());
  }

  /**
   * Translates a request.
   *
   * @param nowUs when the request arrived, in Unix microseconds
   * @param responder receives the response
   */
  TranslationResult translate(UwsgiPacket packet, long nowUs, Responder responder) {
    RequestTarget target = RequestTarget.of(packet);
    if (!target.isComplete()) {
      return new TranslationResult.Invalid(RequestError.Kind.MISSING_METHOD_OR_PATH);
    }
    RouteResult route = router.find(target.method(), target.path());
    if (route instanceof RouteResult.Matched match) {
      return translate(packet, target, match, nowUs, responder);
    }
    if (route instanceof RouteResult.MethodNotAllowed otherMethods) {
      String allowedMethods = otherMethods.allowedMethods();
      return target.method().equals("OPTIONS")
          ? new TranslationResult.MethodQuery(allowedMethods)
          : new TranslationResult.Invalid(RequestError.Kind.METHOD_NOT_ALLOWED, allowedMethods);
    }
    return new TranslationResult.Invalid(RequestError.Kind.UNKNOWN_OPERATION);
  }

  private TranslationResult translate(
      UwsgiPacket packet,
      RequestTarget target,
      RouteResult.Matched match,
      long nowUs,
      Responder responder) {
    ServiceOperation operation = match.operation();
    Optional<TranslationResult.Invalid> invalid = checkVars(packet, operation);
    if (invalid.isPresent()) {
      return invalid.get();
    }
    byte[] payload = packet.body();
    if (operation.usesMachineRuntime()) {
      Optional<byte[]> created = payloads.create(payload, match.parameters(), target.query());
      if (created.isEmpty()) {
        return new TranslationResult.Invalid(RequestError.Kind.MALFORMED_QUERY);
      }
      payload = created.get();
      if (payload.length > RuntimePayload.MAX_BYTES) {
        return new TranslationResult.Invalid(RequestError.Kind.BODY_TOO_LONG);
      }
    }
    SentRequest sent =
        new SentRequest(
            packet.var(config.variables().team()),
            operation.method(), // a HEAD request executes the GET
            target.path(),
            target.query(),
            packet.body());
    Request request = request(packet, operation, sent, payload, nowUs, responder);
    return new TranslationResult.Translated(request, operation);
  }

  /** Checks the vars that the broker itself reads; of several errors the first is reported. */
  private Optional<TranslationResult.Invalid> checkVars(
      UwsgiPacket packet, ServiceOperation operation) {
    UwsgiVariables names = config.variables();
    if (!operation.tenantIndexByTeam().containsKey(packet.var(names.team()))) {
      return invalid(RequestError.Kind.UNKNOWN_TEAM, "");
    }
    if (!TIMEOUT_MS_PATTERN.matcher(packet.var(names.deadlineMs())).matches()) {
      return invalid(RequestError.Kind.MALFORMED_TIMEOUT, names.deadlineMs());
    }
    if (operation.idempotent()
        && !IDEMPOTENCY_KEY_PATTERN.matcher(packet.var(names.idempotencyKey())).matches()) {
      return invalid(RequestError.Kind.MALFORMED_IDEMPOTENCY_KEY, names.idempotencyKey());
    }
    return Optional.empty();
  }

  private static Optional<TranslationResult.Invalid> invalid(
      RequestError.Kind kind, String subject) {
    return Optional.of(new TranslationResult.Invalid(kind, subject));
  }

  private Request request(
      UwsgiPacket packet,
      ServiceOperation operation,
      SentRequest sent,
      byte[] payload,
      long nowUs,
      Responder responder) {
    UwsgiVariables names = config.variables();
    String key = packet.var(names.idempotencyKey());
    return new Request(
        nextId(),
        nowUs,
        timeoutUs(packet, operation),
        operation.classIndex(),
        operation.className(),
        operation.tenantIndexByTeam().get(sent.team()),
        callerId(sent.team()),
        packet.var(names.retry()).equals("1"),
        operation.memoryKb(),
        operation.rank(),
        operation.idempotent() ? key : null,
        identity(operation, sent, key, payload, nowUs),
        0,
        payload,
        operation.usesMachineRuntime() ? Map.of() : attributes(packet, operation, nowUs),
        runner(operation),
        responder);
  }

  /**
   * Returns the identity of a request with a key. Its operation may be one without keys, if it was
   * idempotent when the caller sent the first attempt.
   */
  private Optional<RequestIdentity> identity(
      ServiceOperation operation, SentRequest sent, String key, byte[] payload, long nowUs) {
    if (!IDEMPOTENCY_KEY_PATTERN.matcher(key).matches()) {
      return Optional.empty();
    }
    ClassAndTenant inForce =
        new ClassAndTenant(operation.className(), operation.tenantNameByTeam().get(sent.team()));
    List<ClassAndTenant> resolutions = new ArrayList<>();
    resolutions.add(inForce);
    resolutions.addAll(formerContracts.find(sent, nowUs));
    return Optional.of(
        RequestIdentity.ofTeam(
            sent, key, payload, resolutions, () -> possibleAssignments(inForce)));
  }

  private List<ClassAndTenant> possibleAssignments(ClassAndTenant inForce) {
    return PossibleAssignments.nearest(
        config.idempotentClassNames(), config.settings().tenantNames(), inForce);
  }

  /** Returns the timeout that the client requests, limited to the operation's deadline. */
  private long timeoutUs(UwsgiPacket packet, ServiceOperation operation) {
    String timeoutMs = packet.var(config.variables().deadlineMs());
    return timeoutMs.isEmpty()
        ? operation.deadlineUs()
        : Math.min(operation.deadlineUs(), US_PER_MS * Long.parseLong(timeoutMs));
  }

  private Runner runner(ServiceOperation operation) {
    if (operation.usesMachineRuntime()) {
      return runtime;
    }
    return operation.backend() instanceof Backend.Sample ? samples : backends;
  }

  /** Returns the vars to be passed on to the service, and the attributes for its runner. */
  private static Map<String, String> attributes(
      UwsgiPacket packet, ServiceOperation operation, long nowUs) {
    Map<String, String> replacements = new HashMap<>();
    replacements.put("REQUEST_METHOD", operation.method()); // a HEAD request executes the GET
    replacements.put(RunAttributes.OPERATION, operation.id());
    if (operation.backend() instanceof Backend.Uwsgi uwsgi) {
      replacements.put(
          RunAttributes.BACKEND_ADDRESS,
          uwsgi.address().getHostString() + ":" + uwsgi.address().getPort());
    } else if (operation.backend() instanceof Backend.Fleet fleet) {
      replacements.put(RunAttributes.SERVICE, fleet.service());
      replacements.put(
          RunAttributes.KEY_EXPIRES_AT, Long.toString(nowUs + operation.idempotencyWindowUs()));
    }
    // the runner sets the length to that of the body
    return new RequestAttributes(packet.vars(), replacements, Set.of("CONTENT_LENGTH"));
  }

  private long callerId(String team) {
    int index = callerIds.computeIfAbsent(team, absent -> callerIds.size());
    return (long) FIRST_CALLER_ID + index;
  }

  private String nextId() {
    return String.format("%016x", random.nextLong());
  }
}
