package rosecleat.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An operation of a service with the terms of its contract and budget.
 *
 * @param service the name of the service
 * @param id the operation id in the API description
 * @param method the HTTP method in upper case
 * @param path the request path, with parameters in braces
 * @param contentType the media type of its responses
 * @param className the name of its request class, as used by the backend
 * @param classIndex the index of its request class in the settings
 * @param idempotent whether its requests carry an idempotency key
 * @param idempotencyWindowUs how long an idempotency key is stored, in microseconds; 0 without keys
 * @param deadlineUs the time after which a response has no value, in microseconds
 * @param memoryKb the estimated memory of one request, in kilobytes
 * @param rank its rank among the requests of its class, from 0 (inclusive) to 1 (exclusive)
 * @param backend the backend that executes the operation
 * @param tenantIndexByTeam the tenant index of each team that has a budget
 * @param tenantNameByTeam the name of each team's tenant
 */
public record ServiceOperation(
    String service,
    String id,
    String method,
    String path,
    String contentType,
    String className,
    int classIndex,
    boolean idempotent,
    long idempotencyWindowUs,
    long deadlineUs,
    double memoryKb,
    double rank,
    Backend backend,
    Map<String, Integer> tenantIndexByTeam,
    Map<String, String> tenantNameByTeam) {

  /** Returns whether the machine's runtime executes the operation. */
  public boolean usesMachineRuntime() {
    return backend instanceof Backend.MachineRuntime;
  }

  /** Returns a copy of this operation with replaced class and tenant indexes. */
  ServiceOperation withIndexes(List<Integer> classIndexes, List<Integer> tenantIndexes) {
    Map<String, Integer> reindexedTenants = new HashMap<>();
    tenantIndexByTeam.forEach(
        (team, tenantIndex) -> reindexedTenants.put(team, tenantIndexes.get(tenantIndex)));
    return new ServiceOperation(
        service,
        id,
        method,
        path,
        contentType,
        className,
        classIndexes.get(classIndex),
        idempotent,
        idempotencyWindowUs,
        deadlineUs,
        memoryKb,
        rank,
        backend,
        Map.copyOf(reindexedTenants),
        tenantNameByTeam);
  }
}
