package rosecleat.admin;

import java.util.Optional;

/**
 * What the admin server can query and change of a node. The methods are called on the node's event
 * loop and must not block.
 */
public interface AdminOperations {
  /** Whether this process can serve clients. */
  boolean isReady();

  /** Starts to drain: from now on health checks report the node as down. */
  void drain();

  /** Ends draining: from now on health checks report the node's true health. */
  void activate();

  /** Returns the document at a path as ASCII JSON; empty where the path is unknown. */
  default Optional<String> view(String path) {
    return Optional.empty();
  }
}
