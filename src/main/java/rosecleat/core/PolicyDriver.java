package rosecleat.core;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.PolicyCommand;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicyEvent;

/**
 * Reports events to the policy and executes its commands. Commands on requests are executed at
 * once; the values of commands on the node are stored for later queries. For the core's thread.
 */
final class PolicyDriver {
  private final PolicyEngine policy;
  private final InFlightRequests requests;
  private final Runs runs;
  private final DownstreamCalls calls;
  private final IdempotentAttempts attempts;
  private final GracefulShutdown shutdown;
  private final LongSupplier clock;
  private final Log log;
  private CoreSettings settings;
  private boolean executing;
  private boolean healthy = true;
  private double loadAdvice = Double.NaN;
  private long idleTimeoutUs;

  /** Creates a driver of a policy, which may not have started yet. */
  PolicyDriver(
      CoreSettings settings,
      PolicyEngine policy,
      InFlightRequests requests,
      Runs runs,
      DownstreamCalls calls,
      IdempotentAttempts attempts,
      GracefulShutdown shutdown,
      LongSupplier clock,
      Log log) {
    this.settings = settings;
    this.policy = policy;
    this.requests = requests;
    this.runs = runs;
    this.calls = calls;
    this.attempts = attempts;
    this.shutdown = shutdown;
    this.clock = clock;
    this.log = log;
    idleTimeoutUs = settings.idleTimeoutUs();
  }

  /** Applies updated settings. */
  void reconfigure(CoreSettings updated) {
    settings = updated;
  }

  /** Returns whether health checks should succeed according to the policy. */
  boolean healthy() {
    return healthy;
  }

  /** Makes health checks fail until the policy sets them again, because the node is stopping. */
  void setUnhealthy() {
    healthy = false;
  }

  /** Returns the load advice to send with responses; NaN if there is none. */
  double loadAdvice() {
    return loadAdvice;
  }

  /** Returns how long a connection may stay idle, in microseconds. */
  long idleTimeoutUs() {
    return idleTimeoutUs;
  }

  /** Reports an event and executes the commands that result from it. */
  void report(PolicyEvent event) {
    policy.handle(clock.getAsLong(), event);
    executeCommands();
  }

  /**
   * Executes commands until there are none left. Events that occur meanwhile add further commands,
   * which are executed after the current one rather than nested within it.
   */
  void executeCommands() {
    if (executing) {
      return;
    }
    executing = true;
    try {
      for (PolicyCommand command = policy.nextCommand();
          command != null;
          command = policy.nextCommand()) {
        execute(command);
      }
    } finally {
      executing = false;
    }
  }

  private void execute(PolicyCommand command) {
    if (command instanceof PolicyCommand.Run run) {
      ifInFlight(run.id(), this::start);
    } else if (command instanceof PolicyCommand.Reject reject) {
      ifInFlight(
          reject.id(), request -> runs.reject(request, reject.retryAfterUs(), reject.noRetry()));
    } else if (command instanceof PolicyCommand.Fail fail) {
      ifInFlight(fail.id(), runs::fail);
    } else if (command instanceof PolicyCommand.Cancel cancel) {
      ifInFlight(cancel.id(), runs::cancel);
    } else if (command instanceof PolicyCommand.Call call) {
      ifInFlight(call.id(), request -> calls.make(request, call.untilUs()));
    } else if (command instanceof PolicyCommand.SkipCall skip) {
      ifInFlight(skip.id(), calls::skip);
    } else if (command instanceof PolicyCommand.RememberKey remember) {
      ifInFlight(remember.id(), request -> attempts.remember(request, remember.forUs()));
    } else if (command instanceof PolicyCommand.ForgetKey forget) {
      ifInFlight(forget.id(), attempts::forget);
    } else if (command instanceof PolicyCommand.ReplayResult replay) {
      ifInFlight(replay.id(), attempts::replayResult);
    } else {
      executeOnNode(command);
    }
  }

  private void executeOnNode(PolicyCommand command) {
    if (command instanceof PolicyCommand.SetHealth health) {
      healthy = health.healthy();
    } else if (command instanceof PolicyCommand.SetLoadAdvice advice) {
      loadAdvice = advice.value();
    } else if (command instanceof PolicyCommand.SetIdleTimeout idle) {
      idleTimeoutUs = idle.timeoutUs() > 0 ? idle.timeoutUs() : settings.idleTimeoutUs();
    } else if (command instanceof PolicyCommand.LogLine note) {
      log.info(note.line());
    }
  }

  private void start(InFlightRequest request) {
    runs.start(request, shutdown.gracePeriodEndedBefore(request.request().arrivedAtUs()));
  }

  /** Performs an action on a request, unless the request has been closed in the meantime. */
  private void ifInFlight(long sequence, Consumer<InFlightRequest> action) {
    requests.find(sequence).ifPresent(action);
  }
}
