package rosecleat.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An operation of a service, under its contract and budget.
 *
 * @param service the service's name
 * @param id the operation's name in its description
 * @param method the HTTP method in upper case
 * @param path the path of its requests, with parameters in braces
 * @param contentType the media type of its responses
 * @param className the name of its class, as its backend knows it
 * @param classIndex the index of its class in the settings
 * @param idempotent whether its requests carry an idempotency key
 * @param idempotencyWindowUs how long a key is remembered, in microseconds; 0 without keys
 * @param deadlineUs the time within which a response is worth anything, in microseconds
 * @param memoryKb the memory that one of its requests is taken to need, in kilobytes
 * @param rank its place among the requests of its class, from 0 to below 1
 * @param backend what executes it
 * @param tenantIndexByTeam the index of the tenant of each team that has a budget
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
    Map<String, Integer> tenantIndexByTeam) {

  /** Whether the machine's runtime executes the operation, rather than a service. */
  public boolean usesMachineRuntime() {
    return backend instanceof Backend.MachineRuntime;
  }

  /** The same operation with other indexes for its class and its tenants. */
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
        Map.copyOf(reindexedTenants));
  }
}
