package rosecleat.front.resp;

import java.util.List;
import rosecleat.core.RequestClass;
import rosecleat.core.Runner;

/**
 * The request classes and tenants that requests may refer to, and the runner that executes the
 * requests.
 *
 * @param classes the request classes by index; null at unused indexes
 * @param tenants the tenant names by index; null at unused indexes
 * @param runner executes the requests
 */
public record RequestCatalog(List<RequestClass> classes, List<String> tenants, Runner runner) {}
