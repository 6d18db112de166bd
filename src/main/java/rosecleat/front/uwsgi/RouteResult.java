package rosecleat.front.uwsgi;

import java.util.Map;
import rosecleat.config.ServiceOperation;

/** What the router found for a method and a path. */
sealed interface RouteResult {
  /**
   * An operation has the path and the method.
   *
   * @param parameters the path parameters by name
   */
  record Matched(ServiceOperation operation, Map<String, String> parameters)
      implements RouteResult {}

  /**
   * Operations have the path, but with other methods.
   *
   * @param allowedMethods the methods, as an {@code Allow} header lists them
   */
  record MethodNotAllowed(String allowedMethods) implements RouteResult {}

  /** No operation has the path. */
  record NotFound() implements RouteResult {}
}
