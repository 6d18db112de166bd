package rosecleat.runtime;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the last command of each run until it is proven to have arrived, across connections: the
 * runtime has shown an effect of it, or has answered a request for gauges that was written behind
 * it on the same connection. A command is in one of these places:
 *
 * <ul>
 *   <li>queued: not sent, as there was no connection; it goes first on the next one;
 *   <li>unacknowledged: sent on the current connection, and not yet proven to have arrived;
 *   <li>in doubt: unacknowledged when an earlier connection ended, which may have lost it.
 * </ul>
 *
 * <p>For the loop alone.
 */
final class CommandTracker {
  /** Bounds the memory that commands for an unreachable runtime take. */
  private static final int MAX_QUEUED = 4_096;

  private final ArrayDeque<RunCommand> queued = new ArrayDeque<>();
  private final Map<String, RunCommand> unacknowledged = new LinkedHashMap<>();
  private final Map<String, RunCommand> inDoubt = new LinkedHashMap<>();

  /** Runs whose command was sent again; the runtime rejects it where it had arrived before. */
  private final Set<String> resentRuns = new HashSet<>();

  /** How many commands were sent, on all connections. */
  private long sentCount;

  /** Forgets all earlier commands of a run, as a new one takes their place. */
  void supersede(String runId) {
    resentRuns.remove(runId);
    acknowledge(runId);
  }

  /** Queues a command for the next connection; false where too many are queued already. */
  boolean queue(RunCommand command) {
    return queued.size() < MAX_QUEUED && queued.add(command);
  }

  boolean hasQueued() {
    return !queued.isEmpty();
  }

  /** Returns the command that was queued first; there must be one. */
  RunCommand firstQueued() {
    return queued.element();
  }

  void removeFirstQueued() {
    queued.remove();
  }

  /** Records that a command was sent on the current connection. */
  void sent(RunCommand command) {
    sentCount++;
    unacknowledged.put(command.runId(), command.withSequence(sentCount));
  }

  /** How many commands were sent so far, for {@link #acknowledgeThrough}. */
  long sentCount() {
    return sentCount;
  }

  /** Records that the last command of a run has arrived. */
  void acknowledge(String runId) {
    unacknowledged.remove(runId);
    inDoubt.remove(runId);
  }

  /**
   * Records that the first so many commands have arrived, as far as they were sent on the current
   * connection: what was written behind them there was answered, and a connection keeps its order.
   */
  void acknowledgeThrough(long sequence) {
    unacknowledged.values().removeIf(command -> command.sequence() <= sequence);
  }

  boolean hasUnacknowledged() {
    return !unacknowledged.isEmpty();
  }

  /**
   * Records that no further command goes by the current connection: those that are not proven to
   * have arrived may be lost with it.
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
   * Removes and returns the commands in doubt, in the order in which they were sent; earlier
   * repeats are forgotten.
   */
  List<RunCommand> takeInDoubt() {
    resentRuns.clear();
    List<RunCommand> commands = List.copyOf(inDoubt.values());
    inDoubt.clear();
    return commands;
  }

  /** Records that the last command of a run is sent a second time. */
  void markResent(String runId) {
    resentRuns.add(runId);
  }

  /** Returns whether the last command of a run was sent a second time, and forgets it. */
  boolean wasResent(String runId) {
    return resentRuns.remove(runId);
  }
}
