package rosecleat.node;

import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.core.Counters;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.policy.PolicyEngine;

/**
 * Persists the policy's estimates across the processes of a node. For use on the event loop, except
 * for {@link #close}.
 */
interface EstimatePersistence {
  /**
   * Starts to open the state folder that the broker's file names. Without such a folder nothing is
   * persisted.
   */
  static EstimatePersistence of(Optional<BrokerConfig> broker, Log log) {
    return broker.isEmpty() || broker.get().state() == null
        ? new NoEstimatePersistence()
        : new StatePersistence(broker.get().state(), log);
  }

  /**
   * Passes stored estimates to a policy once they have been read, and stores what the policy
   * learns.
   */
  void attach(
      IndexedSettings settings,
      PolicyEngine policy,
      EventLoop loop,
      LongSupplier clock,
      Counters counters);

  /**
   * Applies a changed configuration. The folder cannot change, and its maximum size is read only at
   * the next start.
   */
  void reconfigure(BrokerConfig broker);

  /** Stores changed estimates if the save interval has elapsed. */
  void poll(long nowUs);

  /** Stores changed estimates immediately. */
  void save(long nowUs);

  /** Stores changed estimates and then releases the folder to another process. */
  void saveAndRelease(long nowUs);

  /**
   * Waits until all estimates are stored. May be called from any thread.
   *
   * @param maxMs the maximum wait (ms)
   * @return whether all estimates are stored
   */
  boolean close(long maxMs);
}
