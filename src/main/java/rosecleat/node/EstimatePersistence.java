package rosecleat.node;

import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.core.Counters;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.policy.PolicyEngine;

/** Keeps what the policy has learned from one process of a node to the next. For the event loop. */
interface EstimatePersistence {
  /** Starts to open the folder that a broker's file names, where it names one. */
  static EstimatePersistence of(Optional<BrokerConfig> broker, Log log) {
    return broker.isEmpty() || broker.get().state() == null
        ? new NoEstimatePersistence()
        : new StatePersistence(broker.get().state(), log);
  }

  /** Hands stored estimates to a policy once they are read, and stores what it learns. */
  void attach(
      IndexedSettings settings,
      PolicyEngine policy,
      EventLoop loop,
      LongSupplier clock,
      Counters counters);

  /**
   * Puts a changed configuration in force; the folder stays, its size is read at the next start.
   */
  void reconfigure(BrokerConfig broker);

  /** Stores what has changed, where it is time. */
  void poll(long nowUs);

  /** Stores what has changed now. */
  void save(long nowUs);

  /** Stores what has changed and then leaves the folder to another process. */
  void saveAndRelease(long nowUs);

  /**
   * Waits until everything is stored; for any thread.
   *
   * @param maxMs the longest wait (ms)
   * @return whether everything is stored
   */
  boolean close(long maxMs);
}
