package rosecleat.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests on this server, by id and by state, and the only place that moves them. */
final class RequestTable {
  private final PolicyContext context;
  private final MemoryBudget memory;
  private final DownstreamCallLimiter callLimiter;
  private final Map<Long, TrackedRequest> byId = new HashMap<>();
  private final List<TrackedRequest> queue = new ArrayList<>();
  private final List<TrackedRequest> active = new ArrayList<>();
  private int running;
  private int atCall;

  RequestTable(PolicyContext context, MemoryBudget memory, DownstreamCallLimiter callLimiter) {
    this.context = context;
    this.memory = memory;
    this.callLimiter = callLimiter;
  }

  /** The request of an id, null where it is over or was never here. */
  TrackedRequest find(long id) {
    return byId.get(id);
  }

  Collection<TrackedRequest> all() {
    return byId.values();
  }

  /** Queued requests, in order of arrival. A live view: moving a request changes it. */
  List<TrackedRequest> queue() {
    return queue;
  }

  /** Requests that run, are attached or wait for a call, in order of their start. A live view. */
  List<TrackedRequest> active() {
    return active;
  }

  /** Requests on the cores. */
  int running() {
    return running;
  }

  /** Requests whose run waits for a downstream call: off the cores, but they will come back. */
  int atCall() {
    return atCall;
  }

  /** Takes in a request that has arrived. */
  void add(TrackedRequest tracked) {
    byId.put(tracked.id(), tracked);
    queue.add(tracked);
    memory.add(tracked.memoryKb);
  }

  /** Queues a request again whose run was dropped or paused before it was answered. */
  void requeue(TrackedRequest tracked) {
    remove(tracked);
    tracked.state = RequestState.QUEUED;
    tracked.cancelRequested = false;
    queue.add(tracked);
    if (context.settings().cancelMode() != CancelMode.PAUSE) {
      tracked.memoryKb = tracked.request.queuedKb();
    }
    memory.add(tracked.memoryKb);
  }

  /** Has a queued request wait for the result of the one it repeats. */
  void attach(TrackedRequest tracked) {
    queue.remove(tracked);
    active.add(tracked);
    tracked.state = RequestState.ATTACHED;
  }

  /** Moves a queued request to the cores. */
  void start(TrackedRequest tracked) {
    queue.remove(tracked);
    active.add(tracked);
    memory.grow(tracked);
    tracked.executed = true;
    tracked.runStartedUs = context.nowUs();
    tracked.waitedAtCallsUs = 0;
    if (tracked.execution != null) {
      tracked.execution.executed = true;
    }
    setState(tracked, RequestState.RUNNING);
  }

  /** Moves a request between running, waiting for a call and being over. */
  void setState(TrackedRequest tracked, RequestState state) {
    running += (state == RequestState.RUNNING ? 1 : 0);
    running -= (tracked.state == RequestState.RUNNING ? 1 : 0);
    atCall += (state.atCall() ? 1 : 0) - (tracked.state.atCall() ? 1 : 0);
    long now = context.nowUs();
    tracked.waitedAtCallsUs += tracked.state.atCall() ? now - tracked.stateSinceUs : 0;
    tracked.stateSinceUs = now;
    tracked.state = state;
    if (state != RequestState.CALLING) {
      callLimiter.release(tracked, false); // its request ended first
    }
  }

  /** Takes a request out that is over. */
  void complete(TrackedRequest tracked) {
    remove(tracked);
    byId.remove(tracked.id());
  }

  private void remove(TrackedRequest tracked) {
    (tracked.state == RequestState.QUEUED ? queue : active).remove(tracked);
    if (tracked.state != RequestState.COMPLETED) {
      memory.release(tracked.memoryKb);
    }
    setState(tracked, RequestState.COMPLETED);
  }
}
