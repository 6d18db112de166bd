package rosecleat.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/** The requests that others may repeat: effects with an idempotency key, and shared reads. */
final class IdempotencyRecords {
  private record RememberedKey(long untilUs, long id, boolean hasExecution, double memoryKb) {}

  private final PolicyContext context;
  private final MemoryBudget memory;
  private final RequestTable requests;
  private final Map<Long, IdempotentExecution> executions = new HashMap<>();
  private final PriorityQueue<RememberedKey> expiries =
      new PriorityQueue<>(
          Comparator.comparingLong(RememberedKey::untilUs).thenComparingLong(RememberedKey::id));

  IdempotencyRecords(PolicyContext context, MemoryBudget memory, RequestTable requests) {
    this.context = context;
    this.memory = memory;
    this.requests = requests;
  }

  /**
   * Decides what to do with a request whose original the host has found.
   *
   * @param afterGrace whether it arrived after the grace of a drain
   * @param stalled whether the server stands still
   */
  RepeatDecision classify(TrackedRequest tracked, boolean afterGrace, boolean stalled) {
    if (tracked.isSafe()) {
      boolean shared = context.settings().readSharingUs() > 0 && !afterGrace && !stalled;
      return shared ? RepeatDecision.ATTACH : RepeatDecision.RUN;
    }
    if (!tracked.isKeyed()) {
      return RepeatDecision.RUN;
    }
    IdempotentExecution execution = executions.get(tracked.request.originalId());
    tracked.execution = execution;
    if (execution != null && !execution.executed && !hasQueuedLeader(execution)) {
      return RepeatDecision.RUN; // no attempt ever ran
    }
    return afterGrace ? RepeatDecision.ANSWER : RepeatDecision.ATTACH;
  }

  private static boolean hasQueuedLeader(IdempotentExecution execution) {
    return execution.leader != null && execution.leader.state == RequestState.QUEUED;
  }

  /** Answers a queued request with the result of the request that it repeats. */
  void attach(TrackedRequest tracked) {
    requests.attach(tracked);
    context.actions.replayResult(tracked.id());
  }

  /** Remembers an admitted request with an idempotency key, for its retry window. */
  void rememberEffect(TrackedRequest tracked) {
    if (tracked.execution == null) {
      tracked.execution = new IdempotentExecution();
    }
    tracked.execution.leader = tracked;
    executions.put(tracked.id(), tracked.execution);
    long untilUs =
        tracked.arrivedUs + tracked.priorityClass.retryWindowUs() + context.settings().slackUs();
    remember(tracked, Math.max(1, untilUs - context.nowUs()));
  }

  /** Remembers a read that starts, until its deadline, where there is memory to spare. */
  void rememberRunningRead(TrackedRequest tracked) {
    if (isShareableRead(tracked) && memory.canSpareKey()) {
      remember(tracked, Math.max(1, tracked.deadlineUs - context.nowUs()));
    }
  }

  /** Remembers the result of a read that succeeded. */
  void rememberReadResult(TrackedRequest tracked) {
    if (isShareableRead(tracked)) {
      remember(tracked, context.settings().readSharingUs());
    }
  }

  private boolean isShareableRead(TrackedRequest tracked) {
    return tracked.isSafe()
        && context.settings().readSharingUs() > 0
        && tracked.request.readKey() != 0;
  }

  private void remember(TrackedRequest tracked, long forUs) {
    context.actions.rememberKey(tracked.id(), forUs);
    double keyKb = context.settings().keyKb();
    memory.add(keyKb);
    boolean hasExecution = tracked.execution != null;
    expiries.add(new RememberedKey(context.nowUs() + forUs, tracked.id(), hasExecution, keyKb));
  }

  /** Forgets the keys whose time is over. */
  void expire() {
    while (!expiries.isEmpty() && expiries.peek().untilUs < context.nowUs()) {
      RememberedKey expired = expiries.poll();
      memory.release(expired.memoryKb);
      if (expired.hasExecution) {
        executions.remove(expired.id);
      }
    }
  }
}
