package rosecleat.front.uwsgi;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import rosecleat.config.ServiceOperation;

/** Finds the operation of a method and a path; literal segments go before templates. */
final class Routes {
  /**
   * What was found: an operation with its path parameters, or the methods the path may be asked by,
   * or nothing.
   */
  record Found(ServiceOperation operation, Map<String, String> parameters, String allow) {}

  private static final class Node {
    final Map<String, Node> literal = new LinkedHashMap<>();
    final Map<String, Node> template = new LinkedHashMap<>();
    final Map<String, ServiceOperation> methods = new LinkedHashMap<>();
  }

  private final Node root = new Node();

  Routes(List<ServiceOperation> operations) {
    for (ServiceOperation operation : operations) {
      Node node = root;
      for (String segment : operation.path().substring(1).split("/", -1)) {
        boolean variable = segment.startsWith("{") && segment.endsWith("}");
        node =
            (variable ? node.template : node.literal)
                .computeIfAbsent(
                    variable ? segment.substring(1, segment.length() - 1) : segment,
                    s -> new Node());
      }
      node.methods.put(operation.method(), operation);
    }
  }

  Found find(String method, String path) {
    if (!path.startsWith("/")) {
      return new Found(null, Map.of(), "");
    }
    List<Found> matches = new ArrayList<>();
    TreeSet<String> allowed = new TreeSet<>();
    walk(
        root, path.substring(1).split("/", -1), 0, new LinkedHashMap<>(), method, matches, allowed);
    return matches.isEmpty()
        ? new Found(null, Map.of(), String.join(", ", allowed))
        : matches.get(0);
  }

  private static void allow(Node node, TreeSet<String> allowed) {
    if (!node.methods.isEmpty()) {
      allowed.addAll(node.methods.keySet());
      allowed.add("OPTIONS");
      if (node.methods.containsKey("GET")) {
        allowed.add("HEAD");
      }
    }
  }

  private static void walk(
      Node node,
      String[] segments,
      int at,
      Map<String, String> parameters,
      String method,
      List<Found> matches,
      TreeSet<String> allowed) {
    if (!matches.isEmpty()) {
      return;
    }
    if (at == segments.length) {
      allow(node, allowed);
      ServiceOperation operation = node.methods.get(method);
      if (operation == null && method.equals("HEAD")) {
        operation = node.methods.get("GET"); // answered as that is, without the body
      }
      if (operation != null) {
        matches.add(new Found(operation, new LinkedHashMap<>(parameters), ""));
      }
      return;
    }
    Node literal = node.literal.get(segments[at]);
    if (literal != null) {
      walk(literal, segments, at + 1, parameters, method, matches, allowed);
    }
    if (segments[at].isEmpty()) {
      return;
    }
    node.template.forEach(
        (name, next) -> {
          parameters.put(name, segments[at]);
          walk(next, segments, at + 1, parameters, method, matches, allowed);
          parameters.remove(name);
        });
  }
}
