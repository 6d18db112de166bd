package rosecleat.front.uwsgi;

import java.util.Map;
import rosecleat.config.ServiceOperation;

/** The result of the search for an operation by method and path. */
sealed interface RouteResult {
  /**
   * An operation matches the path and the method.
   *
   * @param parameters the path parameters by name
   */
  record Matched(ServiceOperation operation, Map<String, String> parameters)
      implements RouteResult {}

  /**
   * Operations match the path, but none matches the method.
   *
   * @param allowedMethods the methods of these operations in the form of an {@code Allow} header
   */
  record MethodNotAllowed(String allowedMethods) implements RouteResult {}

  /** No operation matches the path. */
  record NotFound() implements RouteResult {}
}
