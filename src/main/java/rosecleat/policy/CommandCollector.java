package rosecleat.policy;

import java.util.ArrayDeque;

/** Queues the policy's actions as commands, in the order in which they are called. */
abstract class CommandCollector implements PolicyActions {
  private final ArrayDeque<PolicyCommand> commands = new ArrayDeque<>();

  /** Removes and returns the next command, or null if there is none. */
  PolicyCommand poll() {
    return commands.poll();
  }

  @Override
  public void run(long id) {
    commands.add(new PolicyCommand.Run(id));
  }

  @Override
  public void reject(long id, long retryAfterUs, boolean noRetry) {
    commands.add(new PolicyCommand.Reject(id, retryAfterUs, noRetry));
  }

  @Override
  public void fail(long id) {
    commands.add(new PolicyCommand.Fail(id));
  }

  @Override
  public void cancel(long id) {
    commands.add(new PolicyCommand.Cancel(id));
  }

  @Override
  public void call(long id, long untilUs) {
    commands.add(new PolicyCommand.Call(id, untilUs));
  }

  @Override
  public void skipCall(long id) {
    commands.add(new PolicyCommand.SkipCall(id));
  }

  @Override
  public void rememberKey(long id, long forUs) {
    commands.add(new PolicyCommand.RememberKey(id, forUs));
  }

  @Override
  public void forgetKey(long id) {
    commands.add(new PolicyCommand.ForgetKey(id));
  }

  @Override
  public void replayResult(long id) {
    commands.add(new PolicyCommand.ReplayResult(id));
  }

  @Override
  public void setHealth(boolean healthy, boolean shallow) {
    commands.add(new PolicyCommand.SetHealth(healthy));
  }

  @Override
  public void setLoadAdvice(double value) {
    commands.add(new PolicyCommand.SetLoadAdvice(value));
  }

  @Override
  public void setIdleTimeout(long timeoutUs) {
    commands.add(new PolicyCommand.SetIdleTimeout(timeoutUs));
  }

  @Override
  public void log(String line) {
    commands.add(new PolicyCommand.LogLine(line));
  }
}
