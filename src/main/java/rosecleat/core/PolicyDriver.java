package rosecleat.core;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.PolicyCommand;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicyEvent;

/**
 * Reports events to the policy and executes its commands: those on requests at once, those on the
 * node by keeping their values. For the core's thread.
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

  /** A driver of a policy that may not have started yet. */
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

  /** Applies other settings from now on. */
  void reconfigure(CoreSettings updated) {
    settings = updated;
  }

  /** Whether health checks should succeed, as the policy has it. */
  boolean healthy() {
    return healthy;
  }

  /** The node stops: health checks fail until the policy says otherwise. */
  void setUnhealthy() {
    healthy = false;
  }

  /** The value that goes with responses; not a number while there is none. */
  double loadAdvice() {
    return loadAdvice;
  }

  /** How long connections may stay unused, in microseconds. */
  long idleTimeoutUs() {
    return idleTimeoutUs;
  }

  /** Reports an event and executes the commands that follow. */
  void report(PolicyEvent event) {
    policy.handle(clock.getAsLong(), event);
    executeCommands();
  }

  /**
   * Executes commands until there are none. Events on the way add commands, which are executed in
   * their turn and not inside the command that caused them.
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

  /** Acts on a request; a command for one that is closed by now does nothing. */
  private void ifInFlight(long sequence, Consumer<InFlightRequest> action) {
    requests.find(sequence).ifPresent(action);
  }
}
