package rosecleat.front.uwsgi;

import java.net.InetSocketAddress;
import rosecleat.core.Runner;

/**
 * Where the runs of services go whose instances may change; asked when a run starts. For the loop.
 */
public interface Instances {
  /** A run's place at an instance, from its start to its end. */
  interface Lease {
    /** Where it runs. */
    InetSocketAddress address();

    /**
     * It is over, {@code tookUs} after it started; {@code replyBytes} is -1 where no whole reply
     * came.
     */
    void ended(Runner.End how, long tookUs, int replyBytes);
  }

  /**
   * What is to be run; {@code once} is null outside keyed classes, {@code untilUs} the end of the
   * key's window.
   */
  record Run(String service, String operation, String once, long untilUs, int requestBytes) {}

  /** A place for a run; null where no instance may take it. */
  Lease lease(Run run, long nowUs);

  /** Whether a service has no instance that may take anything. */
  boolean none(String service);

  /** No service has any. */
  Instances EMPTY =
      new Instances() {
        @Override
        public Lease lease(Run run, long nowUs) {
          return null;
        }

        @Override
        public boolean none(String service) {
          return true;
        }
      };
}
