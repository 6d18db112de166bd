package rosecleat.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Stores the requests on this server by id and by state; every change of state is made here. */
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

  /** Returns the request with an id, or null if it is complete or unknown. */
  TrackedRequest find(long id) {
    return byId.get(id);
  }

  Collection<TrackedRequest> all() {
    return byId.values();
  }

  /** Returns the queued requests as a live list, in the order in which they were queued. */
  List<TrackedRequest> queue() {
    return queue;
  }

  /**
   * Returns requests that run, are attached or wait for a call, in order of start, as a live list.
   */
  List<TrackedRequest> active() {
    return active;
  }

  /** Returns the number of requests on the cores. */
  int running() {
    return running;
  }

  /**
   * Returns the number of runs that wait for a downstream call and return to the cores after it.
   */
  int atCall() {
    return atCall;
  }

  /** Adds an arrived request to the queue. */
  void add(TrackedRequest tracked) {
    byId.put(tracked.id(), tracked);
    queue.add(tracked);
    memory.add(tracked.memoryKb);
  }

  /** Queues a request again after its run was dropped or paused before the response. */
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

  /** Makes a queued request wait for the result of the request that it repeats. */
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

  /** Sets the state of an active request, and counts running and waiting requests and call time. */
  void setState(TrackedRequest tracked, RequestState state) {
    running += (state == RequestState.RUNNING ? 1 : 0);
    running -= (tracked.state == RequestState.RUNNING ? 1 : 0);
    atCall += (state.atCall() ? 1 : 0) - (tracked.state.atCall() ? 1 : 0);
    long now = context.nowUs();
    tracked.waitedAtCallsUs += tracked.state.atCall() ? now - tracked.stateSinceUs : 0;
    tracked.stateSinceUs = now;
    tracked.state = state;
    if (state != RequestState.CALLING) {
      // has no effect unless the request left the call before the call ended
      callLimiter.release(tracked, false);
    }
  }

  /** Removes a request that is complete. */
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
