package rosecleat.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/** The requests whose result later attempts may share: keyed requests and shareable reads. */
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
   * Decides how to handle a request for which the host found an original request.
   *
   * @param afterGrace whether the request arrived after the grace period of a drain
   * @param stalled whether the server has stalled
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
      return RepeatDecision.RUN; // no attempt has run
    }
    return afterGrace ? RepeatDecision.ANSWER : RepeatDecision.ATTACH;
  }

  private static boolean hasQueuedLeader(IdempotentExecution execution) {
    return execution.leader != null && execution.leader.state == RequestState.QUEUED;
  }

  /** Attaches a queued request to the request that it repeats, to share its result. */
  void attach(TrackedRequest tracked) {
    requests.attach(tracked);
    context.actions.replayResult(tracked.id());
  }

  /** Stores the idempotency key of an admitted request for its retry window. */
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

  /** Stores the key of a read that starts, until its deadline, if there is memory to spare. */
  void rememberRunningRead(TrackedRequest tracked) {
    if (isShareableRead(tracked) && memory.canSpareKey()) {
      remember(tracked, Math.max(1, tracked.deadlineUs - context.nowUs()));
    }
  }

  /** Stores the key of a read that succeeded, so that other reads can share its result. */
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

  /** Releases the memory of expired keys and removes their executions. */
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
