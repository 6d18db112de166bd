package rosecleat.net;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import rosecleat.log.Log;

/**
 * The single thread on which all code runs that accesses the core. Completion handlers of channels
 * run on the channel group's thread, or on the thread that started the operation, and only post a
 * task to the loop. Therefore no result is handled within the call that started its operation.
 */
public final class EventLoop implements AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;
  private final AsynchronousChannelGroup group;
  private final Log log;

  /**
   * Creates a loop with its thread and its channel group.
   *
   * @throws IOException if the channel group can't be opened
   */
  public EventLoop(Log log) throws IOException {
    this.log = log;
    executor = new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, "loop"));
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    group = AsynchronousChannelGroup.withFixedThreadPool(1, task -> daemonThread(task, "io"));
  }

  private static Thread daemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the group to which this loop's channels belong. */
  AsynchronousChannelGroup group() {
    return group;
  }

  /** Returns the log that the connections and listeners of this loop write to. */
  Log log() {
    return log;
  }

  /**
   * Runs a task on the loop after all tasks posted before. May be called from any thread. Once the
   * loop is closed, tasks are dropped, since the connections they refer to are closed as well.
   */
  public void execute(Runnable task) {
    try {
      executor.execute(() -> runGuarded(task));
    } catch (RejectedExecutionException e) {
      return; // the loop is closed
    }
  }

  /**
   * Runs a task on the loop after a delay in microseconds, unless the returned future is cancelled
   * before. Once the loop is closed, tasks are dropped.
   */
  public Future<?> schedule(long delayUs, Runnable task) {
    try {
      return executor.schedule(() -> runGuarded(task), Math.max(0, delayUs), TimeUnit.MICROSECONDS);
    } catch (RejectedExecutionException e) {
      return CompletableFuture.completedFuture(null); // the loop is closed
    }
  }

  /**
   * Runs a task and logs a runtime exception that it throws, so that the loop goes on. An error is
   * passed to the handler of uncaught exceptions, since the executor would discard it.
   */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.warn("task on the event loop failed: " + describe(e));
    } catch (Error e) {
      Thread thread = Thread.currentThread();
      thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
    }
  }

  /** Returns what was thrown, and where. */
  static String describe(Throwable thrown) {
    StackTraceElement[] trace = thrown.getStackTrace();
    return thrown + (trace.length == 0 ? "" : " at " + trace[0]);
  }

  /**
   * Closes the loop and waits until the I/O thread has returned from the system call that waits for
   * socket events. Otherwise the exit of the JVM would wait up to 0.3 s for a thread in such a
   * call.
   *
   * @return whether the I/O thread has ended within the timeout
   */
  public boolean close(long timeoutMs) throws InterruptedException {
    close();
    return group.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Stops the loop and closes the channels that are still open. */
  @Override
  public void close() {
    executor.shutdownNow();
    try {
      group.shutdownNow();
    } catch (IOException e) {
      log.warn("could not close the channel group of the event loop: " + e.getMessage());
    }
  }
}
