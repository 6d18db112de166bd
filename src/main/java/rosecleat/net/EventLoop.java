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
 * The one thread on which everything that touches the core runs. Completion handlers run on the
 * channel group's own thread, or on whichever thread started the operation, and only post here; so
 * no handler ever runs inside the code that started its operation.
 */
public final class EventLoop implements AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;
  private final AsynchronousChannelGroup group;
  private final Log log;

  /**
   * Starts a loop with its thread and its channel group.
   *
   * @throws IOException where the channel group can't be opened
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

  /** Returns the log for connections and listeners of this loop. */
  Log log() {
    return log;
  }

  /**
   * Runs a task on the loop, after those already posted. Safe on any thread; dropped once the loop
   * is closed, as every connection the task could be about is closed then.
   */
  public void execute(Runnable task) {
    try {
      executor.execute(() -> runGuarded(task));
    } catch (RejectedExecutionException e) {
      return; // the loop is closed
    }
  }

  /**
   * Runs a task on the loop after a delay in microseconds; cancel the future to call it off.
   * Dropped once the loop is closed.
   */
  public Future<?> schedule(long delayUs, Runnable task) {
    try {
      return executor.schedule(() -> runGuarded(task), Math.max(0, delayUs), TimeUnit.MICROSECONDS);
    } catch (RejectedExecutionException e) {
      return CompletableFuture.completedFuture(null); // the loop is closed
    }
  }

  /** Guards the loop: whatever a task throws ends that task alone. */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      log.warn("a task failed: " + e + (trace.length == 0 ? "" : " at " + trace[0]));
    }
  }

  /**
   * Ends the loop and waits until its thread for sockets has left the system's call for their
   * events: the end of a virtual machine waits up to 0.3 s for threads in such calls.
   *
   * @return whether that thread has ended in time
   */
  public boolean close(long timeoutMs) throws InterruptedException {
    close();
    return group.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Ends the loop; channels still open are closed. */
  @Override
  public void close() {
    executor.shutdownNow();
    try {
      group.shutdownNow();
    } catch (IOException e) {
      log.warn("the channel group did not close: " + e.getMessage());
    }
  }
}
