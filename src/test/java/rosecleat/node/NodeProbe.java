package rosecleat.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import rosecleat.core.Core;

/** Evaluates functions of a node from a test's thread on the node's event loop. */
final class NodeProbe {
  private static final long TIMEOUT_S = 10;

  private NodeProbe() {}

  /** Evaluates a function on the event loop of a node. */
  static <T> T onLoop(Node node, Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    node.onLoop(() -> answer.complete(question.get()));
    return answer.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
  }

  /** Evaluates a function of the core of a node on its event loop. */
  static <T> T ask(Node node, Function<Core, T> question) {
    return onLoop(node, () -> question.apply(node.core()));
  }

  /** Returns the value of a counter of a node. */
  static long counter(Node node, String name) {
    return ask(node, core -> core.counters().get(name));
  }

  /** Waits until a condition is true. */
  static void await(BooleanSupplier condition) {
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNs) {
        throw new AssertionError("condition not true in time");
      }
      Thread.yield();
    }
  }
}
