package rosecleat.node;

import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.core.Counters;
import rosecleat.net.EventLoop;
import rosecleat.policy.PolicyEngine;

/** Persists no estimates: each process starts without any. */
final class NoEstimatePersistence implements EstimatePersistence {
  @Override
  public void attach(
      IndexedSettings settings,
      PolicyEngine policy,
      EventLoop loop,
      LongSupplier clock,
      Counters counters) {}

  @Override
  public void reconfigure(BrokerConfig broker) {}

  @Override
  public void poll(long nowUs) {}

  @Override
  public void save(long nowUs) {}

  @Override
  public void saveAndRelease(long nowUs) {}

  @Override
  public boolean close(long maxMs) {
    return true;
  }
}
