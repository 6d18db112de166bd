package rosecleat.admin;

import java.util.Optional;

/**
 * Operations on a node that the admin server exposes. The methods are called on the node's event
 * loop and must not block.
 */
public interface AdminOperations {
  /** Returns whether this process can serve clients. */
  boolean isReady();

  /** Starts draining the node: health checks report it as down from now on. */
  void drain();

  /** Ends draining: health checks report the node's actual health from now on. */
  void activate();

  /** Returns the document at a path as ASCII JSON; empty if the path is unknown. */
  default Optional<String> view(String path) {
    return Optional.empty();
  }
}
