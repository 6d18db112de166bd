package rosecleat.front.uwsgi;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rosecleat.config.BrokerConfig;
import rosecleat.config.ServiceOperation;
import rosecleat.core.RequestIdentity.ClassAndTenant;
import rosecleat.core.SentRequest;

/**
 * The class and the tenant that earlier configurations assigned to requests, for as long as an
 * idempotency key that was used then may be in force. An attempt can so be related to one that a
 * caller of another frontend made under the class and tenant of that time.
 */
final class FormerContracts {
  /** The part of an operation that determines the class and tenant of a request. */
  private record Assignment(
      String method, String path, String className, Map<String, String> tenantNameByTeam) {}

  /** Contracts that were in force until a time, in Unix microseconds. */
  private record Former(OperationRouter router, long supersededAtUs) {}

  /** Maximum number of different contracts that are retained; the oldest is dropped first. */
  private static final int MAX_FORMER = 1_024;

  private final Map<List<Assignment>, Former> formers = new LinkedHashMap<>();
  private long retentionUs;

  /** Retains the contracts of a configuration that another one supersedes. */
  void supersede(BrokerConfig former, BrokerConfig current, long nowUs) {
    retentionUs =
        Math.max(retentionUs, Math.max(former.longestKeyUseUs(), current.longestKeyUseUs()));
    List<Assignment> assignments = assignments(former);
    formers.remove(assignments);
    formers.put(assignments, new Former(new OperationRouter(former.operations()), nowUs));
    formers.values().removeIf(each -> nowUs > each.supersededAtUs + retentionUs);
    if (formers.size() > MAX_FORMER) {
      formers.remove(formers.keySet().iterator().next());
    }
  }

  private static List<Assignment> assignments(BrokerConfig config) {
    return config.operations().stream()
        .map(
            operation ->
                new Assignment(
                    operation.method(),
                    operation.path(),
                    operation.className(),
                    operation.tenantNameByTeam()))
        .toList();
  }

  /** Returns the different classes and tenants that were assigned to a request. */
  List<ClassAndTenant> find(SentRequest sent, long nowUs) {
    List<ClassAndTenant> found = new ArrayList<>();
    for (Former former : formers.values()) {
      if (nowUs <= former.supersededAtUs + retentionUs
          && former.router.find(sent.method(), sent.path()) instanceof RouteResult.Matched match) {
        addAssignment(match.operation(), sent.team(), found);
      }
    }
    return found.stream().distinct().toList();
  }

  private static void addAssignment(
      ServiceOperation operation, String team, List<ClassAndTenant> found) {
    String tenantName = operation.tenantNameByTeam().get(team);
    if (tenantName != null) {
      found.add(new ClassAndTenant(operation.className(), tenantName));
    }
  }
}
