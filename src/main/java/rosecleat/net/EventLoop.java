package rosecleat.net;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
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

  /** A loop with its thread and its channel group. */
  public EventLoop(Log log) throws IOException {
    this.log = log;
    executor = new ScheduledThreadPoolExecutor(1, r -> daemon(r, "loop"));
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    group = AsynchronousChannelGroup.withFixedThreadPool(1, r -> daemon(r, "io"));
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** The group that this loop's channels belong to. */
  AsynchronousChannelGroup group() {
    return group;
  }

  /** Where the loop's owners report to. */
  Log log() {
    return log;
  }

  /** Runs a task on the loop, after those already posted. */
  public void execute(Runnable task) {
    try {
      executor.execute(() -> guarded(task));
    } catch (RejectedExecutionException e) {
      return; // the loop has closed, and with it every connection the task could be about
    }
  }

  /** Runs a task on the loop after some time; cancel the future to call it off. */
  public Future<?> schedule(long delayUs, Runnable task) {
    return executor.schedule(() -> guarded(task), Math.max(0, delayUs), TimeUnit.MICROSECONDS);
  }

  /** Guards the loop: whatever a task throws ends that task alone. */
  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      log.warn("a task failed: " + e + (trace.length == 0 ? "" : " at " + trace[0]));
    }
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
