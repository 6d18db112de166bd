package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A host for tests. It passes events to the policy, records the actions, tracks the requests and
 * asserts four invariants, besides the preconditions of single actions:
 *
 * <ul>
 *   <li>The memory of requests and keys stays within its limit.
 *   <li>The number of running requests stays within the overload limit.
 *   <li>Every request is answered by its deadline.
 *   <li>No request runs, is retried or is rejected against its idempotency.
 * </ul>
 */
final class SimulatedHost implements PolicyActions {
  static final class HostedRequest {
    PolicyRequest request;
    long arrivedUs;
    long deadlineUs;
    RequestState state = RequestState.QUEUED;
    boolean awaitingResponse = true;
    boolean executed;
    String answer = "";
    long answeredAtUs;
    boolean cancelling;
    boolean repeatable = true;
    boolean paused;
    long callUntilUs;
    OutstandingCall call;
  }

  /** The time span in which a call occupies the dependency. */
  static final class OutstandingCall {
    long startedUs;
    long untilUs = Long.MAX_VALUE;
  }

  final PolicySettings settings;
  final Policy policy;
  final Map<Long, HostedRequest> requests = new LinkedHashMap<>();
  final Map<Long, Long> keysUntilUs = new HashMap<>();
  final List<String> actions = new ArrayList<>();
  final List<String> logs = new ArrayList<>();
  final ServerGauges gauges = new ServerGauges();
  long nowUs;
  long nextId = 1;
  long timerAtUs;
  long drainStartedUs = -1;
  double loadAdvice = -1;
  boolean healthy = true;
  long callerId = 1;
  boolean markRetries;
  double rank = 0.5;
  long idleTimeoutUs = -1;
  long lastRetryAfterUs;
  boolean lastNoRetry;
  int outstandingCalls;
  final List<OutstandingCall> allCalls = new ArrayList<>();

  SimulatedHost(PolicySettings settings, long seed) {
    this.settings = settings;
    policy = new Policy(settings, seed, this);
    policy.start(nowUs);
    gauges.coreUtilisation = 0;
    gauges.runnable = 0;
  }

  HostedRequest arrive(int classIndex) {
    return arrive(classIndex, 0, 0, 0, 0);
  }

  HostedRequest arrive(int classIndex, int tenant, long ageUs, long timeoutUs, long original) {
    HostedRequest hosted = new HostedRequest();
    hosted.request =
        new PolicyRequest(
            nextId++,
            classIndex,
            tenant,
            original == 0 ? 0 : 7,
            timeoutUs,
            0,
            10,
            rank,
            markRetries,
            false,
            callerId,
            ageUs,
            original);
    hosted.arrivedUs = nowUs - ageUs;
    hosted.deadlineUs =
        Math.max(
            nowUs,
            timeoutUs > 0
                ? nowUs + timeoutUs
                : hosted.arrivedUs + settings.classes().get(classIndex).deadlineUs());
    requests.put(hosted.request.id(), hosted);
    policy.arrived(nowUs, hosted.request);
    check();
    return hosted;
  }

  void end(HostedRequest hosted, Outcome outcome, long tookUs) {
    boolean dropped = outcome == Outcome.CANCELLED && hosted.awaitingResponse;
    hosted.state = dropped ? RequestState.QUEUED : RequestState.COMPLETED;
    hosted.paused = dropped && settings.cancelMode() == CancelMode.PAUSE;
    releaseCall(hosted, settings.callLingerUs());
    if ((outcome == Outcome.OK || outcome == Outcome.FAILED) && hosted.awaitingResponse) {
      hosted.awaitingResponse = false;
      hosted.answer = outcome.name();
      hosted.answeredAtUs = nowUs;
    }
    policy.ended(nowUs, hosted.request.id(), outcome, tookUs);
    check();
  }

  void needCall(HostedRequest hosted) {
    hosted.state = RequestState.NEEDS_CALL;
    policy.callNeeded(nowUs, hosted.request.id());
    check();
  }

  void endCall(HostedRequest hosted, Outcome outcome) {
    long tookUs = hosted.call == null ? 0 : nowUs - hosted.call.startedUs;
    releaseCall(
        hosted,
        outcome == Outcome.TIMEOUT || outcome == Outcome.RESET ? settings.callLingerUs() : 0);
    hosted.state = outcome == Outcome.OK ? RequestState.RUNNING : RequestState.NEEDS_CALL;
    hosted.repeatable =
        outcome == Outcome.REJECTED || outcome == Outcome.UNREACHABLE || outcome == Outcome.OK;
    policy.callEnded(nowUs, hosted.request.id(), outcome, tookUs);
    check();
  }

  private void releaseCall(HostedRequest hosted, long lingerUs) {
    if (hosted.call != null) {
      outstandingCalls--;
      hosted.call.untilUs = Math.min(nowUs, hosted.callUntilUs) + lingerUs;
      hosted.call = null;
    }
  }

  /** Returns the maximum average of outstanding calls over any window until {@code nowUs}. */
  double maxMeanCalls() {
    double maxMean = 0;
    for (OutstandingCall last : allCalls) {
      for (long end :
          new long[] {
            Math.min(nowUs, last.untilUs), Math.min(nowUs, last.startedUs + settings.callWindowUs())
          }) {
        double sum = 0;
        for (OutstandingCall o : allCalls) {
          sum +=
              Math.max(
                  0,
                  Math.min(end, o.untilUs) - Math.max(o.startedUs, end - settings.callWindowUs()));
        }
        maxMean = Math.max(maxMean, sum / settings.callWindowUs());
      }
    }
    return maxMean;
  }

  void callerCancels(HostedRequest hosted) {
    hosted.awaitingResponse = false;
    if (hosted.state == RequestState.QUEUED || hosted.state == RequestState.ATTACHED) {
      hosted.state = RequestState.COMPLETED;
    }
    policy.cancelled(nowUs, hosted.request.id());
    check();
  }

  void drain(long timeoutUs) {
    drainStartedUs = nowUs;
    for (HostedRequest hosted : requests.values()) {
      hosted.deadlineUs = Math.min(hosted.deadlineUs, nowUs + timeoutUs - settings.slackUs());
    }
    policy.draining(nowUs, timeoutUs);
    check();
  }

  /** Advances the time and fires timers; no run or call ends meanwhile. */
  void advance(long us) {
    long until = nowUs + us;
    while (timerAtUs <= until) {
      nowUs = Math.max(nowUs, timerAtUs);
      policy.timerFired(nowUs, 0, gauges);
      check();
    }
    nowUs = until;
  }

  List<HostedRequest> running() {
    return requests.values().stream()
        .filter(hosted -> hosted.state == RequestState.RUNNING)
        .toList();
  }

  double memoryKb() {
    double kb = 0;
    for (HostedRequest hosted : requests.values()) {
      if (hosted.state != RequestState.COMPLETED) {
        boolean unstarted =
            (hosted.state == RequestState.QUEUED && !hosted.paused)
                || hosted.state == RequestState.ATTACHED;
        kb += hosted.request.queuedKb() * (unstarted ? 1 : settings.runMemoryFactor());
      }
    }
    for (long until : keysUntilUs.values()) {
      kb += until > nowUs ? settings.keyKb() : 0;
    }
    return kb;
  }

  private void check() {
    assertTrue(memoryKb() <= settings.memoryKb(), "memory over its limit, KB: " + memoryKb());
    long onCores =
        requests.values().stream().filter(hosted -> hosted.state == RequestState.RUNNING).count();
    assertTrue(
        onCores
            <= settings.cores() * (1 + (settings.overloadMultiple() - 1) * settings.coldCapacity()),
        "running requests over the overload limit: " + onCores);
    for (HostedRequest hosted : requests.values()) {
      assertFalse(
          hosted.awaitingResponse && nowUs > hosted.deadlineUs + settings.slackUs(),
          "not answered by its deadline: request " + hosted.request.id());
    }
  }

  private HostedRequest find(long id) {
    HostedRequest hosted = requests.get(id);
    assertNotNull(hosted, "unknown request " + id);
    return hosted;
  }

  private Idempotency idempotency(HostedRequest hosted) {
    return settings.classes().get(hosted.request.classIndex()).idempotency();
  }

  @Override
  public void run(long id) {
    actions.add("run " + id);
    HostedRequest hosted = find(id);
    assertTrue(hosted.state == RequestState.QUEUED, "run of a request that is not queued");
    assertFalse(
        hosted.executed && idempotency(hosted) != Idempotency.SAFE,
        "non-idempotent request run twice");
    assertFalse(
        drainStartedUs >= 0 && hosted.arrivedUs > drainStartedUs + settings.graceUs(),
        "run of a request that arrived after the grace period");
    if (idempotency(hosted) == Idempotency.KEYED) {
      assertTrue(
          keysUntilUs.getOrDefault(id, 0L)
              >= hosted.arrivedUs
                  + settings.classes().get(hosted.request.classIndex()).retryWindowUs(),
          "keyed request run without a stored key");
      for (long o = hosted.request.originalId(); o != 0; o = requests.get(o).request.originalId()) {
        assertFalse(requests.get(o).executed, "keyed request run again");
      }
    }
    hosted.state = RequestState.RUNNING;
    hosted.executed = true;
  }

  @Override
  public void reject(long id, long retryAfterUs, boolean noRetry) {
    actions.add("reject " + id);
    HostedRequest hosted = find(id);
    if (idempotency(hosted) != Idempotency.SAFE) {
      assertFalse(hosted.executed, "request rejected after it ran");
      for (long o = hosted.request.originalId(); o != 0; o = requests.get(o).request.originalId()) {
        assertFalse(requests.get(o).executed, "repeated attempt rejected after the original ran");
      }
    }
    lastRetryAfterUs = retryAfterUs;
    lastNoRetry = noRetry;
    answer(hosted, "reject");
  }

  @Override
  public void fail(long id) {
    actions.add("fail " + id);
    answer(find(id), "fail");
  }

  private void answer(HostedRequest hosted, String how) {
    if (hosted.awaitingResponse) {
      hosted.awaitingResponse = false;
      hosted.answer = how;
      hosted.answeredAtUs = nowUs;
    }
    if (hosted.state == RequestState.QUEUED || hosted.state == RequestState.ATTACHED) {
      hosted.state = RequestState.COMPLETED;
    }
  }

  @Override
  public void cancel(long id) {
    actions.add("cancel " + id);
    assertTrue(settings.cancelMode() != CancelMode.OFF, "cancel without a cancel mode");
    find(id).cancelling = true;
  }

  @Override
  public void call(long id, long untilUs) {
    actions.add("call " + id);
    HostedRequest hosted = find(id);
    assertTrue(hosted.state == RequestState.NEEDS_CALL);
    assertTrue(
        idempotency(hosted) == Idempotency.SAFE || hosted.repeatable,
        "retry of a call that may have run");
    hosted.state = RequestState.CALLING;
    hosted.callUntilUs = untilUs;
    assertTrue(untilUs >= nowUs, "call times out before it is made");
    hosted.call = new OutstandingCall();
    hosted.call.startedUs = nowUs;
    // the call times out then, whether or not its outcome is reported
    hosted.call.untilUs = untilUs + settings.callLingerUs();
    allCalls.add(hosted.call);
    outstandingCalls++;
  }

  @Override
  public void skipCall(long id) {
    actions.add("skip " + id);
    assertTrue(
        settings.classes().get(find(id).request.classIndex()).weightWithoutCall() > 0,
        "skip of a mandatory call");
    find(id).state = RequestState.RUNNING;
  }

  @Override
  public void rememberKey(long id, long forUs) {
    actions.add("remember " + id);
    keysUntilUs.put(id, nowUs + forUs);
  }

  @Override
  public void forgetKey(long id) {
    assertFalse(find(id).executed, "key of an executed request removed");
    keysUntilUs.remove(id);
  }

  @Override
  public void replayResult(long id) {
    actions.add("replay " + id);
    assertTrue(find(id).request.originalId() != 0, "replay for a request that repeats none");
    find(id).state = RequestState.ATTACHED;
  }

  @Override
  public void setHealth(boolean isHealthy, boolean shallow) {
    healthy = isHealthy;
  }

  @Override
  public void setLoadAdvice(double value) {
    loadAdvice = value;
  }

  @Override
  public void setIdleTimeout(long us) {
    idleTimeoutUs = us;
  }

  @Override
  public void startTimer(long inUs, long tag) {
    timerAtUs = nowUs + inUs;
  }

  @Override
  public void log(String line) {
    logs.add(line);
  }
}
