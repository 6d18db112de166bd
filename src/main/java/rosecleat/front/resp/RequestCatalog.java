package rosecleat.front.resp;

import java.util.List;
import rosecleat.core.RequestClass;
import rosecleat.core.Runner;

/**
 * The request classes and tenants that clients may name, and the runner that executes their
 * requests.
 *
 * @param classes the request classes by index; null at an index that is not in use
 * @param tenants the tenant names by index; null at an index that is not in use
 * @param runner what executes the requests
 */
public record RequestCatalog(List<RequestClass> classes, List<String> tenants, Runner runner) {}
