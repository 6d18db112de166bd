package rosecleat.front.uwsgi;

import java.net.InetSocketAddress;
import java.util.Optional;
import rosecleat.core.RunResult;

/**
 * Chooses the instance of a service that executes a run, at the time when the run starts. All
 * methods are called on the event loop.
 */
public interface InstanceBalancer {
  /** A balancer without instances, for nodes whose services all have fixed addresses. */
  InstanceBalancer NONE =
      new InstanceBalancer() {
        @Override
        public Optional<Lease> lease(LeaseRequest request, long nowUs) {
          return Optional.empty();
        }

        @Override
        public boolean hasNoAvailableInstance(String service) {
          return true;
        }
      };

  /** A lease of one slot of an instance, from the start of a run to its end. */
  interface Lease {
    /** Returns the address of the instance. */
    InetSocketAddress address();

    /**
     * Releases the slot; to be called exactly once.
     *
     * @param result how the run ended
     * @param durationUs the time from the start of the run to its end, in microseconds
     * @param responseBytes the length of the response's body; -1 if no complete response was
     *     received
     */
    void release(RunResult result, long durationUs, int responseBytes);
  }

  /**
   * The properties of a run for which a slot is requested.
   *
   * @param service the name of the service
   * @param operation the id of the operation
   * @param idempotencyKey the key of the request; null if its class has no idempotency keys
   * @param keyExpiresAtUs when the key expires, in Unix microseconds; 0 if there is no key
   * @param requestBytes the length of the request's body
   */
  record LeaseRequest(
      String service,
      String operation,
      String idempotencyKey,
      long keyExpiresAtUs,
      int requestBytes) {}

  /**
   * Leases a slot for a run; returns empty if the service has no instance that accepts requests. An
   * instance may be chosen beyond its capacity.
   */
  Optional<Lease> lease(LeaseRequest request, long nowUs);

  /** Returns whether the service has no instance that accepts requests. */
  boolean hasNoAvailableInstance(String service);
}
