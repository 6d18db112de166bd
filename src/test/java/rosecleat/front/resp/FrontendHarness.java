package rosecleat.front.resp;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import rosecleat.core.Core;
import rosecleat.core.RequestClass;
import rosecleat.core.Runner;
import rosecleat.fakes.TestCore;
import rosecleat.log.Log;
import rosecleat.net.ClientMemory;
import rosecleat.net.EventLoop;

/** A listening RESP frontend with a core and an event loop, for tests over real sockets. */
final class FrontendHarness implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 100;
  private static final long TASK_TIMEOUT_S = 5;

  final EventLoop loop;
  final Core core;
  final RespFrontend frontend;

  /**
   * Starts a frontend.
   *
   * @param runner creates the runner that executes the requests
   */
  FrontendHarness(
      List<RequestClass> classes,
      List<String> tenants,
      long idleTimeoutUs,
      BiFunction<EventLoop, Core, Runner> runner,
      LongSupplier clock,
      Log log)
      throws Exception {
    loop = new EventLoop(log);
    core = TestCore.create(classes, tenants, idleTimeoutUs, clock, log);
    frontend =
        new RespFrontend(
            loop,
            new InetSocketAddress("127.0.0.1", 0),
            MAX_CONNECTIONS,
            new ClientMemory(Runtime.getRuntime().maxMemory(), MAX_CONNECTIONS),
            core,
            new RequestCatalog(classes, tenants, runner.apply(loop, core)),
            clock,
            log);
    frontend.listen();
  }

  int port() {
    return frontend.port();
  }

  /** Runs a task on the event loop and returns its result. */
  <T> T onLoop(Supplier<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(task.get()));
    return result.orTimeout(TASK_TIMEOUT_S, TimeUnit.SECONDS).join();
  }

  /** Runs a task on the event loop and waits until it has completed. */
  void runOnLoop(Runnable task) {
    onLoop(
        () -> {
          task.run();
          return true;
        });
  }

  /** Waits until a number that is read on the event loop is at least {@code expected}. */
  void awaitAtLeast(int expected, IntSupplier number) {
    while (onLoop(number::getAsInt) < expected) {
      Thread.yield();
    }
  }

  void startCore() {
    runOnLoop(() -> core.start(false, 0));
  }

  void closeIdleConnections(boolean draining) {
    runOnLoop(() -> frontend.closeIdleConnections(draining));
  }

  @Override
  public void close() {
    loop.close();
  }
}
