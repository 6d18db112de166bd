package rosecleat.runtime;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the last command of each run until the runtime has acknowledged it, across connections. A
 * command counts as acknowledged when the runtime has reported an effect of it, or has answered a
 * request for gauges that was written after it on the same connection. A command is in one of these
 * states:
 *
 * <ul>
 *   <li>queued: not sent, because no connection accepted commands; it is sent once the runtime is
 *       ready on a connection;
 *   <li>unacknowledged: sent on the current connection and not acknowledged yet;
 *   <li>in doubt: unacknowledged when an earlier connection ended, which may have lost it.
 * </ul>
 *
 * <p>Used on the event loop only.
 */
final class CommandTracker {
  /** Maximum number of queued commands; bounds their memory while the runtime is unreachable. */
  private static final int MAX_QUEUED = 4_096;

  private final ArrayDeque<RunCommand> queued = new ArrayDeque<>();
  private final Map<String, RunCommand> unacknowledged = new LinkedHashMap<>();
  private final Map<String, RunCommand> inDoubt = new LinkedHashMap<>();

  /**
   * Runs whose last command was sent a second time; the runtime rejects the second one if the first
   * one had arrived.
   */
  private final Set<String> resentRuns = new HashSet<>();

  /** Number of commands sent so far, on all connections. */
  private long sentCount;

  /**
   * Discards the unacknowledged or in-doubt command of a run and the record that it was resent,
   * because a new command replaces it. Queued commands stay.
   */
  void supersede(String runId) {
    resentRuns.remove(runId);
    acknowledge(runId);
  }

  /** Queues a command for the next connection; returns false if the queue is full. */
  boolean queue(RunCommand command) {
    return queued.size() < MAX_QUEUED && queued.add(command);
  }

  boolean hasQueued() {
    return !queued.isEmpty();
  }

  /** Returns the oldest queued command; the queue must not be empty. */
  RunCommand firstQueued() {
    return queued.element();
  }

  void removeFirstQueued() {
    queued.remove();
  }

  /** Records that a command has been sent on the current connection. */
  void sent(RunCommand command) {
    sentCount++;
    unacknowledged.put(command.runId(), command.withSequence(sentCount));
  }

  /** Returns the number of commands sent so far, for {@link #acknowledgeThrough}. */
  long sentCount() {
    return sentCount;
  }

  /** Records that the last command of a run has arrived at the runtime. */
  void acknowledge(String runId) {
    unacknowledged.remove(runId);
    inDoubt.remove(runId);
  }

  /**
   * Records that all commands up to a sequence number have arrived, if they were sent on the
   * current connection: the runtime has answered a request written after them there, and a
   * connection preserves order. Commands that were in doubt before stay in doubt.
   */
  void acknowledgeThrough(long sequence) {
    unacknowledged.values().removeIf(command -> command.sequence() <= sequence);
  }

  boolean hasUnacknowledged() {
    return !unacknowledged.isEmpty();
  }

  /**
   * Records that the current connection has ended: its unacknowledged commands may have been lost.
   */
  void connectionLost() {
    unacknowledged.values().forEach(this::putInDoubt);
    unacknowledged.clear();
  }

  void putInDoubt(RunCommand command) {
    inDoubt.put(command.runId(), command);
  }

  boolean hasInDoubt() {
    return !inDoubt.isEmpty();
  }

  /**
   * Removes and returns the commands in doubt, in the order in which they were sent, and clears the
   * record of earlier resends.
   */
  List<RunCommand> takeInDoubt() {
    resentRuns.clear();
    List<RunCommand> commands = List.copyOf(inDoubt.values());
    inDoubt.clear();
    return commands;
  }

  /** Records that the last command of a run is being sent a second time. */
  void markResent(String runId) {
    resentRuns.add(runId);
  }

  /** Returns whether the last command of a run was sent a second time, and clears that record. */
  boolean wasResent(String runId) {
    return resentRuns.remove(runId);
  }
}
