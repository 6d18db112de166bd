package rosecleat.takeover;

import java.util.List;
import rosecleat.core.IdempotencyClaims;
import rosecleat.core.LocalStartedRuns;
import rosecleat.core.StartedRuns;

/** The coordinator of a node without a shared folder, whose only process is this one. */
final class NoPeers implements TakeoverCoordinator {
  private final StartedRuns startedRuns = new LocalStartedRuns();
  private boolean drained;

  @Override
  public void poll(long nowUs) {}

  @Override
  public ResourceAmounts grant(
      ResourceAmounts limits,
      ResourceAmounts inUse,
      List<Double> remainingCalls,
      boolean shuttingDown) {
    return limits;
  }

  @Override
  public StartedRuns startedRuns() {
    return startedRuns;
  }

  @Override
  public boolean hasPeers() {
    return false;
  }

  @Override
  public boolean predecessorIsAlive() {
    return false;
  }

  @Override
  public boolean successorTakesOver() {
    return false;
  }

  @Override
  public boolean successorIsServing() {
    return false;
  }

  @Override
  public void markServing() {}

  @Override
  public void markLeaving() {}

  @Override
  public boolean isDrained() {
    return drained;
  }

  @Override
  public void setDrained(boolean drained) {
    this.drained = drained;
  }

  @Override
  public void setClaimRetentionUs(long retentionUs, long maxWindowUs) {}

  @Override
  public IdempotencyClaims claims() {
    return IdempotencyClaims.SINGLE_PROCESS;
  }

  @Override
  public void close() {}
}
