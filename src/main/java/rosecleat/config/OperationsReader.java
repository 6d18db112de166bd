package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.policy.Idempotency;
import rosecleat.policy.PriorityClass;

/**
 * Reads the section {@code services} of a broker file: each contract becomes an operation, and
 * contracts and budgets extend the classes and tenants of the node's settings.
 */
final class OperationsReader {
  /** The word for the instances that the fleet's routes name. */
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

  /** Reads over the node's settings; {@code hasRoutes} where a table of routes will exist. */
  OperationsReader(
      Map<String, DescribedOperation> descriptions, NamedSettings nodeSettings, boolean hasRoutes) {
    this.descriptions = descriptions;
    this.nodeSettings = nodeSettings;
    this.hasRoutes = hasRoutes;
    classes = new ClassTable(nodeSettings);
    tenants = new TenantTable(nodeSettings);
  }

  /** The operations of all services, in the file's order. */
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
      throw BrokerFile.invalid("has no contract");
    }
    return List.copyOf(operations);
  }

  /** The node's settings with the classes and tenants that were added. */
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
      throw ConfigException.invalid(subject, "of " + service + " is not described");
    }
    Backend backend = backend(service, serviceSection, description);
    String className = contract.path("class").asText("");
    if (className.isEmpty()) {
      throw ConfigException.invalid(subject, "lacks a class");
    }
    int classIndex = classIndex(subject, className, contract, backend);
    PriorityClass priorityClass = classes.get(classIndex);
    double memoryKb = contract.path("kb").asDouble(DEFAULT_MEMORY_KB);
    double rank = contract.path("rank").asDouble(DEFAULT_RANK);
    if (!(memoryKb > 0 && memoryKb < MAX_MEMORY_KB && rank >= 0 && rank < 1)) {
      throw ConfigException.invalid(subject, "has kb or rank out of range");
    }
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
        tenantIndexByTeam(service, serviceSection.path("budget")));
  }

  /** What executes the operations of a service. */
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
          throw ConfigException.invalid(subject, "is fleet, and there is neither fleet nor routes");
        }
        yield new Backend.Fleet(service);
      }
      default ->
          new Backend.Uwsgi(
              AddressParser.parse(text.substring(AddressParser.UWSGI_SCHEME.length()), subject));
    };
  }

  /**
   * The class of a contract: one of the node's, one of them with other times, or a new one where a
   * backend executes the operation.
   */
  private int classIndex(String subject, String className, JsonNode contract, Backend backend) {
    PriorityClass nodeClass = classes.find(className);
    if (nodeClass == null && backend instanceof Backend.MachineRuntime) {
      throw ConfigException.invalid(subject, "has a class the runtime does not know: " + className);
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
      throw ConfigException.invalid("service " + service, "has no budget");
    }
    return Map.copyOf(tenantIndexByTeam);
  }
}
