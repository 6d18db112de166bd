package rosecleat.front.uwsgi;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import rosecleat.config.ServiceOperation;

/**
 * Finds the operation for a method and a path in a tree of path segments. A literal segment takes
 * precedence over a template such as {@code {id}}, which matches any segment that is not empty.
 */
final class OperationRouter {
  private static final String GET = "GET";
  private static final String HEAD = "HEAD";
  private static final String OPTIONS = "OPTIONS";

  /** The paths that share a prefix, grouped by their next segment. */
  private static final class Node {
    final Map<String, Node> literals = new LinkedHashMap<>();
    final Map<String, Node> templates = new LinkedHashMap<>();
    final Map<String, ServiceOperation> operationsByMethod = new LinkedHashMap<>();
  }

  private final Node root = new Node();

  OperationRouter(List<ServiceOperation> operations) {
    for (ServiceOperation operation : operations) {
      add(operation);
    }
  }

  /**
   * Returns the operation that matches the method and the path. If operations match only the path,
   * returns the methods that it allows. If none matches the path, returns {@link
   * RouteResult.NotFound}.
   */
  RouteResult find(String method, String path) {
    if (!path.startsWith("/")) {
      return new RouteResult.NotFound();
    }
    Search search = new Search(method, segments(path));
    Optional<RouteResult.Matched> match = search.search(root, 0);
    if (match.isPresent()) {
      return match.get();
    }
    return search.allowedMethods.isEmpty()
        ? new RouteResult.NotFound()
        : new RouteResult.MethodNotAllowed(String.join(", ", search.allowedMethods));
  }

  private void add(ServiceOperation operation) {
    Node node = root;
    for (String segment : segments(operation.path())) {
      boolean isTemplate = segment.startsWith("{") && segment.endsWith("}");
      Map<String, Node> children = isTemplate ? node.templates : node.literals;
      String name = isTemplate ? segment.substring(1, segment.length() - 1) : segment;
      node = children.computeIfAbsent(name, absent -> new Node());
    }
    node.operationsByMethod.put(operation.method(), operation);
  }

  private static String[] segments(String path) {
    return path.substring(1).split("/", -1);
  }

  /** One depth-first search of the tree, which ends at the first match. */
  private static final class Search {
    private final String method;
    private final String[] segments;
    private final Map<String, String> parameters = new LinkedHashMap<>();

    /** The methods of all operations whose path matches, in alphabetical order. */
    private final TreeSet<String> allowedMethods = new TreeSet<>();

    Search(String method, String[] segments) {
      this.method = method;
      this.segments = segments;
    }

    Optional<RouteResult.Matched> search(Node node, int index) {
      if (index == segments.length) {
        return matchMethod(node);
      }
      String segment = segments[index];
      Node literal = node.literals.get(segment);
      if (literal != null) {
        Optional<RouteResult.Matched> match = search(literal, index + 1);
        if (match.isPresent()) {
          return match;
        }
      }
      return segment.isEmpty() ? Optional.empty() : searchTemplates(node, index);
    }

    private Optional<RouteResult.Matched> searchTemplates(Node node, int index) {
      for (Map.Entry<String, Node> template : node.templates.entrySet()) {
        parameters.put(template.getKey(), segments[index]);
        Optional<RouteResult.Matched> match = search(template.getValue(), index + 1);
        if (match.isPresent()) {
          return match;
        }
        parameters.remove(template.getKey());
      }
      return Optional.empty();
    }

    private Optional<RouteResult.Matched> matchMethod(Node node) {
      collectAllowedMethods(node);
      ServiceOperation operation = node.operationsByMethod.get(method);
      if (operation == null && method.equals(HEAD)) {
        operation = node.operationsByMethod.get(GET); // the body of the response is omitted
      }
      return Optional.ofNullable(operation)
          .map(found -> new RouteResult.Matched(found, new LinkedHashMap<>(parameters)));
    }

    private void collectAllowedMethods(Node node) {
      if (node.operationsByMethod.isEmpty()) {
        return;
      }
      allowedMethods.addAll(node.operationsByMethod.keySet());
      allowedMethods.add(OPTIONS);
      if (node.operationsByMethod.containsKey(GET)) {
        allowedMethods.add(HEAD);
      }
    }
  }
}
