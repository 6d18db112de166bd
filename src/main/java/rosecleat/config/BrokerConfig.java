package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.policy.Idempotency;
import rosecleat.policy.PriorityClass;
import rosecleat.policy.TenantQuota;

/**
 * The second front's file: where uwsgi listens, what is described, and each service's contract and
 * budget.
 *
 * @param start the node's settings, with the classes and tenants that contracts and budgets add at
 *     the end
 * @param state where the node keeps what it learnt; null where it keeps nothing
 * @param fleet how the process takes part in a fleet; null where it stands alone
 * @param routes what it publishes; null where it follows the fleet
 * @param ownRoom requests that its services without routes work on at once, where the instances of
 *     the others say how many more; -1 where the room is given
 */
public record BrokerConfig(
    InetSocketAddress listen,
    int connections,
    Limits limits,
    Vars vars,
    List<Operation> operations,
    SettingsReader.Start start,
    State state,
    FleetConfig fleet,
    RoutesFile routes,
    int ownRoom) {

  /** Where what was learnt is kept, in microseconds and bytes. */
  public record State(Path folder, long everyUs, long maxBytes, long halfLifeUs) {}

  /** Bounds of the uwsgi connections, in bytes and microseconds. */
  public record Limits(
      int packetBytes,
      int bodyBytes,
      int replyBytes,
      long repliesBytes,
      long readUs,
      long stallUs,
      long replyUs) {}

  /** The names of the vars that callers use beside the protocol's own. */
  public record Vars(String team, String deadlineMs, String key, String retry) {}

  /**
   * One operation under its contract.
   *
   * @param kind the class by name, as its runner knows it
   * @param klass the position of its class in the settings
   * @param keyed whether its tries carry an idempotency key, which is remembered for {@code
   *     windowUs}
   * @param backend what does its work; null for the machine's runtime
   * @param tenants the tenants of the teams that have a budget, by team
   */
  public record Operation(
      String service,
      String id,
      String method,
      String path,
      String contentType,
      String kind,
      int klass,
      boolean keyed,
      long windowUs,
      long deadlineUs,
      double kb,
      double rank,
      Backend backend,
      Map<String, Integer> tenants) {}

  /**
   * The same with other numbers for its classes and tenants: what stood at a position goes by the
   * number there.
   */
  public BrokerConfig renumbered(List<Integer> classNumbers, List<Integer> tenantNumbers) {
    List<Operation> all =
        operations.stream()
            .map(
                o -> {
                  Map<String, Integer> teams = new HashMap<>();
                  o.tenants.forEach((team, tenant) -> teams.put(team, tenantNumbers.get(tenant)));
                  return new Operation(
                      o.service,
                      o.id,
                      o.method,
                      o.path,
                      o.contentType,
                      o.kind,
                      classNumbers.get(o.klass),
                      o.keyed,
                      o.windowUs,
                      o.deadlineUs,
                      o.kb,
                      o.rank,
                      o.backend,
                      Map.copyOf(teams));
                })
            .toList();
    return new BrokerConfig(
        listen, connections, limits, vars, all, start, state, fleet, routes, ownRoom);
  }

  private static final String RUNTIME = "runtime";
  private static final String UWSGI = "uwsgi://";

  /** Whether any operation runs on the instances that the table of routes names. */
  public boolean followsRoutes() {
    return operations.stream().anyMatch(o -> o.backend instanceof Backend.Fleet);
  }

  /** Reads a broker's file over a node's settings. */
  public static BrokerConfig read(Path file, SettingsReader.Start start) {
    JsonNode root = text(file);
    return new Reading(file.toAbsolutePath().getParent(), root, start).broker();
  }

  /** A broker's file that holds to the schema. */
  static JsonNode text(Path file) {
    JsonNode root;
    List<String> findings;
    try {
      String text = Files.readString(file);
      root = new ObjectMapper(new YAMLFactory()).readTree(text);
      if (root == null || !root.isObject()) {
        throw new ConfigException("the broker's file " + file + " has no sections");
      }
      findings = BrokerSchema.findings(root, text);
    } catch (IOException e) {
      throw new ConfigException("cannot read the broker's file " + file);
    }
    if (!findings.isEmpty()) {
      throw new ConfigException("the broker's file " + file + ": " + String.join("; ", findings));
    }
    return root;
  }

  /** One reading of a file. */
  private static final class Reading {
    private final Path folder;
    private final JsonNode root;
    private final SettingsReader.Start start;
    private final List<PriorityClass> classes;
    private final List<String> classNames;
    private final List<TenantQuota> tenants;
    private final List<String> tenantNames;
    private final Map<String, Descriptions.Described> described = new HashMap<>();
    private FleetConfig fleet;

    Reading(Path folder, JsonNode root, SettingsReader.Start start) {
      this.folder = folder;
      this.root = root;
      this.start = start;
      classes = new ArrayList<>(start.settings().classes());
      classNames = new ArrayList<>(start.classes());
      tenants = new ArrayList<>(start.settings().tenants());
      tenantNames = new ArrayList<>(start.tenants());
    }

    BrokerConfig broker() {
      JsonNode uwsgi = root.path("uwsgi");
      InetSocketAddress listen =
          NodeConfig.address(uwsgi.path("listen").asText(""), "uwsgi.listen");
      if (listen == null) {
        throw new ConfigException("the broker's file lacks uwsgi.listen");
      }
      fleet = FleetConfig.of(root, root.path("name").asText("broker"));
      describe();
      List<Operation> operations = new ArrayList<>();
      root.path("services")
          .properties()
          .forEach(
              service ->
                  service
                      .getValue()
                      .path("contract")
                      .properties()
                      .forEach(
                          contract ->
                              operations.add(
                                  operation(
                                      service.getKey(),
                                      service.getValue(),
                                      contract.getKey(),
                                      contract.getValue()))));
      if (operations.isEmpty()) {
        throw new ConfigException("the broker's file has no contract");
      }
      JsonNode l = uwsgi.path("limits");
      Limits limits =
          new Limits(
              whole(l, "packet_bytes", 16 << 10),
              whole(l, "body_bytes", 64 << 10),
              whole(l, "reply_bytes", 1 << 20),
              whole(l, "replies_bytes", 8 << 20),
              1000L * whole(l, "read_ms", 5_000),
              1000L * whole(l, "stall_ms", 5_000),
              1000L * whole(l, "reply_ms", 30_000));
      JsonNode v = uwsgi.path("vars");
      Vars vars =
          new Vars(
              v.path("team").asText("HTTP_X_TEAM"),
              v.path("deadline_ms").asText("HTTP_X_DEADLINE_MS"),
              v.path("key").asText("HTTP_IDEMPOTENCY_KEY"),
              v.path("retry").asText("HTTP_X_RETRY"));
      return new BrokerConfig(
          listen,
          whole(uwsgi, "connections", 128),
          limits,
          vars,
          List.copyOf(operations),
          new SettingsReader.Start(
              start.settings().withClassesAndTenants(List.copyOf(classes), List.copyOf(tenants)),
              start.gauges(),
              List.copyOf(classNames),
              List.copyOf(tenantNames)),
          state(),
          fleet,
          routes(),
          ownRoom());
    }

    private int ownRoom() {
      if (!start.classes().isEmpty() || root.path("limits").has("cores")) {
        return -1; // a platform's, or the file's own word
      }
      int others = 0;
      int routed = 0;
      for (JsonNode service : root.path("services")) {
        boolean follows = service.path("backend").asText().equals("fleet");
        routed += follows ? 1 : 0;
        others += follows ? 0 : Standalone.CORES;
      }
      return routed == 0 ? -1 : others;
    }

    private RoutesFile routes() {
      Path file = FleetConfig.routes(root, folder);
      return file == null ? null : RoutesFile.read(file);
    }

    private State state() {
      JsonNode section = root.path("state");
      if (section.isMissingNode()) {
        return null;
      }
      return new State(
          folder.resolve(section.path("folder").asText()).normalize(),
          1000L * whole(section, "every_ms", 1_000),
          (long) whole(section, "max_mb", 16) << 20,
          1_000_000L * whole(section, "half_life_s", 600));
    }

    private void describe() {
      for (JsonNode entry : root.path("descriptions")) {
        List<Descriptions.Described> found;
        if (entry.has("openapi")) {
          found = Descriptions.openApi(folder.resolve(entry.path("openapi").asText()));
        } else if (entry.has("asyncapi")) {
          found = Descriptions.asyncApi(folder.resolve(entry.path("asyncapi").asText()));
        } else {
          throw new ConfigException("a description is neither openapi nor asyncapi");
        }
        for (Descriptions.Described one : found) {
          if (described.put(one.id(), one) != null) {
            throw new ConfigException("operation " + one.id() + " is described twice");
          }
        }
      }
    }

    private Operation operation(String service, JsonNode terms, String id, JsonNode contract) {
      Descriptions.Described one = described.get(id);
      if (one == null) {
        throw new ConfigException("operation " + id + " of " + service + " is not described");
      }
      Backend backend = backend(service, terms, one);
      String kind = contract.path("class").asText("");
      if (kind.isEmpty()) {
        throw new ConfigException("operation " + id + " lacks a class");
      }
      int klass = klass(id, kind, contract, backend);
      double kb = contract.path("kb").asDouble(32);
      double rank = contract.path("rank").asDouble(0.5);
      if (!(kb > 0 && kb < 2_000 && rank >= 0 && rank < 1)) {
        throw new ConfigException("operation " + id + " has kb or rank out of range");
      }
      Map<String, Integer> teams = new HashMap<>();
      terms
          .path("budget")
          .properties()
          .forEach(team -> teams.put(team.getKey(), tenant(team.getKey(), team.getValue())));
      if (teams.isEmpty()) {
        throw new ConfigException("service " + service + " has no budget");
      }
      return new Operation(
          service,
          id,
          one.method(),
          one.path(),
          one.contentType(),
          kind,
          klass,
          classes.get(klass).idempotency() == Idempotency.KEYED,
          classes.get(klass).retryWindowUs(),
          classes.get(klass).deadlineUs(),
          kb,
          rank,
          backend,
          Map.copyOf(teams));
    }

    private Backend backend(String service, JsonNode terms, Descriptions.Described one) {
      String text = terms.path("backend").asText(RUNTIME);
      switch (text) {
        case RUNTIME -> {
          return null;
        }
        case "sample" -> {
          return new Backend.Sample(
              one.contentType(), one.sample(), 1000L * whole(terms, "sample_ms", 5));
        }
        case "fleet" -> {
          if (fleet == null && !root.has("routes")) {
            throw new ConfigException(
                "backend of " + service + " is fleet, and there is neither fleet nor routes");
          }
          return new Backend.Fleet(service);
        }
        default -> {
          return new Backend.Uwsgi(
              NodeConfig.address(text.substring(UWSGI.length()), "backend of " + service));
        }
      }
    }

    /**
     * The class of a contract: the node's own, one with other times, or a new one where a backend
     * serves it.
     */
    private int klass(String id, String kind, JsonNode c, Backend backend) {
      int known = classNames.indexOf(kind);
      if (known < 0 && backend == null) {
        throw new ConfigException(
            "operation " + id + " has a class the runtime does not know: " + kind);
      }
      PriorityClass base = known < 0 ? null : classes.get(known);
      Idempotency effect = effect(id, c.path("effect").asText(""), base);
      long aim = span(id, c, "aim_ms", base == null ? 0 : base.latencyObjectiveUs());
      long due = span(id, c, "deadline_ms", base == null ? 0 : base.deadlineUs());
      long window =
          effect == Idempotency.KEYED
              ? span(id, c, "window_ms", base == null ? 0 : base.retryWindowUs())
              : 0;
      if (aim > due) {
        throw new ConfigException("operation " + id + " has an aim behind its deadline");
      }
      PriorityClass klass =
          base == null
              ? new PriorityClass(
                  c.path("worth").asDouble(1), 0, aim, 0, due, effect, window, false, 0)
              : new PriorityClass(
                  base.priorityWeight(),
                  base.lateWeight(),
                  aim,
                  base.objectiveRunTimeFactor(),
                  due,
                  effect,
                  base.idempotency() == Idempotency.KEYED
                      ? Math.max(window, base.retryWindowUs())
                      : base.retryWindowUs(),
                  base.callsDownstream(),
                  base.weightWithoutCall());
      for (int i = 0; i < classes.size(); i++) {
        if (classNames.get(i).equals(kind) && classes.get(i).equals(klass)) {
          return i;
        }
      }
      classes.add(klass);
      classNames.add(kind);
      return classes.size() - 1;
    }

    private static Idempotency effect(String id, String word, PriorityClass base) {
      Idempotency effect =
          switch (word) {
            case "pure" -> Idempotency.SAFE;
            case "token" -> Idempotency.KEYED;
            case "side_effect" -> Idempotency.UNSAFE;
            case "" -> base == null ? null : base.idempotency();
            default -> null;
          };
      if (effect == null) {
        throw new ConfigException(
            "operation " + id + " has no known effect (pure, token or side_effect)");
      }
      if (base != null && base.idempotency() != effect) {
        throw new ConfigException("operation " + id + " has another effect than its class");
      }
      return effect;
    }

    private static long span(String id, JsonNode contract, String name, long otherwise) {
      long us = contract.has(name) ? contract.path(name).asLong() * 1000 : otherwise;
      if (us <= 0) {
        throw new ConfigException("operation " + id + " lacks " + name);
      }
      return us;
    }

    private int tenant(String team, JsonNode budget) {
      String name = budget.path("tenant").asText(team);
      int known = tenantNames.indexOf(name);
      double quota =
          budget.path("quota_per_s").asDouble(known < 0 ? 0 : tenants.get(known).quotaPerS());
      if (quota <= 0) {
        throw new ConfigException("the budget of " + team + " lacks quota_per_s");
      }
      if (known >= 0) {
        if (Math.abs(tenants.get(known).quotaPerS() - quota) > 1e-6) {
          throw new ConfigException(
              "the budget of " + team + " is not the quota of tenant " + name);
        }
        return known;
      }
      tenants.add(new TenantQuota(quota));
      tenantNames.add(name);
      return tenants.size() - 1;
    }

    private static int whole(JsonNode node, String name, int otherwise) {
      long value = node.path(name).asLong(otherwise);
      if (value <= 0 || value > Integer.MAX_VALUE) {
        throw new ConfigException(name + " in the broker's file is out of range");
      }
      return (int) value;
    }
  }
}
