package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.policy.Idempotency;
import rosecleat.policy.PriorityClass;

/**
 * Reads the section {@code services} of a broker file. Each contract becomes an operation;
 * contracts and budgets extend the request classes and tenants of the node's settings.
 */
final class OperationsReader {
  /** Value of {@code backend} for the instances of the fleet's routing table. */
  static final String FLEET_BACKEND = "fleet";

  private static final String RUNTIME_BACKEND = "runtime";
  private static final String SAMPLE_BACKEND = "sample";
  private static final int DEFAULT_SAMPLE_MS = 5;

  private static final double DEFAULT_MEMORY_KB = 32;
  private static final double MAX_MEMORY_KB = 2_000;
  private static final double DEFAULT_RANK = 0.5;

  private final Map<String, DescribedOperation> descriptions;
  private final NamedSettings nodeSettings;
  private final ClassTable classes;
  private final TenantTable tenants;
  private final boolean hasRoutes;

  /**
   * Creates a reader that extends the node's settings.
   *
   * @param hasRoutes whether the process has a routing table, which the fleet backend requires
   */
  OperationsReader(
      Map<String, DescribedOperation> descriptions, NamedSettings nodeSettings, boolean hasRoutes) {
    this.descriptions = descriptions;
    this.nodeSettings = nodeSettings;
    this.hasRoutes = hasRoutes;
    classes = new ClassTable(nodeSettings);
    tenants = new TenantTable(nodeSettings);
  }

  /** Reads the operations of all services, in file order. */
  List<ServiceOperation> read(JsonNode services) {
    List<ServiceOperation> operations = new ArrayList<>();
    for (Map.Entry<String, JsonNode> service : services.properties()) {
      JsonNode contracts = service.getValue().path("contract");
      for (Map.Entry<String, JsonNode> contract : contracts.properties()) {
        operations.add(
            operation(
                service.getKey(), service.getValue(), contract.getKey(), contract.getValue()));
      }
    }
    if (operations.isEmpty()) {
      throw BrokerFile.invalid("must define at least one contract under services");
    }
    return List.copyOf(operations);
  }

  /** Returns the node's settings, extended by the added classes and tenants. */
  NamedSettings extendedSettings() {
    return new NamedSettings(
        nodeSettings.policy().withClassesAndTenants(classes.classes(), tenants.tenants()),
        nodeSettings.gaugeNames(),
        classes.names(),
        tenants.names());
  }

  private ServiceOperation operation(
      String service, JsonNode serviceSection, String id, JsonNode contract) {
    String subject = "operation " + id;
    DescribedOperation description = descriptions.get(id);
    if (description == null) {
      throw ConfigException.invalid(
          subject, "of service " + service + " is not defined in any description");
    }
    Backend backend = backend(service, serviceSection, description);
    String className = contract.path("class").asText("");
    if (className.isEmpty()) {
      throw ConfigException.invalid(subject, "needs a class in its contract");
    }
    int classIndex = classIndex(subject, className, contract, backend);
    PriorityClass priorityClass = classes.get(classIndex);
    double memoryKb = contract.path("kb").asDouble(DEFAULT_MEMORY_KB);
    double rank = contract.path("rank").asDouble(DEFAULT_RANK);
    if (!(memoryKb > 0 && memoryKb < MAX_MEMORY_KB && rank >= 0 && rank < 1)) {
      throw ConfigException.invalid(
          subject,
          "needs 0 < kb < " + MAX_MEMORY_KB + ", 0 <= rank < 1; got " + memoryKb + ", " + rank);
    }
    Map<String, Integer> tenantIndexByTeam =
        tenantIndexByTeam(service, serviceSection.path("budget"));
    return new ServiceOperation(
        service,
        id,
        description.method(),
        description.path(),
        description.contentType(),
        className,
        classIndex,
        priorityClass.idempotency() == Idempotency.KEYED,
        priorityClass.retryWindowUs(),
        priorityClass.deadlineUs(),
        memoryKb,
        rank,
        backend,
        tenantIndexByTeam,
        tenantNameByTeam(tenantIndexByTeam));
  }

  /** Returns the backend that executes the operations of a service. */
  private Backend backend(String service, JsonNode serviceSection, DescribedOperation description) {
    String subject = "backend of " + service;
    String text = serviceSection.path("backend").asText(RUNTIME_BACKEND);
    return switch (text) {
      case RUNTIME_BACKEND -> new Backend.MachineRuntime();
      case SAMPLE_BACKEND ->
          new Backend.Sample(
              description.contentType(),
              description.exampleBody(),
              BrokerFile.microseconds(serviceSection, "sample_ms", DEFAULT_SAMPLE_MS));
      case FLEET_BACKEND -> {
        if (!hasRoutes) {
          throw ConfigException.invalid(
              subject, "is fleet, but the broker file has neither a fleet nor a routes section");
        }
        yield new Backend.Fleet(service);
      }
      default ->
          new Backend.Uwsgi(
              AddressParser.parse(text.substring(AddressParser.UWSGI_SCHEME.length()), subject));
    };
  }

  /**
   * Returns the index of a contract's class: a class of the node, a copy of such a class with other
   * times, or, unless the machine's runtime executes the operation, a new class.
   */
  private int classIndex(String subject, String className, JsonNode contract, Backend backend) {
    PriorityClass nodeClass = classes.find(className);
    if (nodeClass == null && backend instanceof Backend.MachineRuntime) {
      throw ConfigException.invalid(
          subject,
          "has the class "
              + className
              + ", but the runtime executes only the classes of the node configuration");
    }
    ContractTerms terms = ContractTerms.read(subject, contract, nodeClass);
    PriorityClass priorityClass = nodeClass == null ? terms.newClass() : terms.applyTo(nodeClass);
    return classes.findOrAdd(className, priorityClass);
  }

  private Map<String, Integer> tenantIndexByTeam(String service, JsonNode budget) {
    Map<String, Integer> tenantIndexByTeam = new HashMap<>();
    for (Map.Entry<String, JsonNode> team : budget.properties()) {
      tenantIndexByTeam.put(team.getKey(), tenants.findOrAdd(team.getKey(), team.getValue()));
    }
    if (tenantIndexByTeam.isEmpty()) {
      throw ConfigException.invalid(
          "service " + service, "must have a budget for at least one team");
    }
    return Map.copyOf(tenantIndexByTeam);
  }

  private Map<String, String> tenantNameByTeam(Map<String, Integer> tenantIndexByTeam) {
    Map<String, String> tenantNameByTeam = new HashMap<>();
    tenantIndexByTeam.forEach(
        (team, tenantIndex) -> tenantNameByTeam.put(team, tenants.names().get(tenantIndex)));
    return Map.copyOf(tenantNameByTeam);
  }
}
