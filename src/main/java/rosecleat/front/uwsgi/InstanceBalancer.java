package rosecleat.front.uwsgi;

import java.net.InetSocketAddress;
import java.util.Optional;
import rosecleat.core.RunResult;

/**
 * Chooses the instance of a service that executes a run, at the moment the run starts. All methods
 * are called on the event loop.
 */
public interface InstanceBalancer {
  /** A balancer without any instance, for nodes whose services have fixed addresses. */
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

  /** A slot at an instance, held from the start of a run to its end. */
  interface Lease {
    /** Returns the address of the instance. */
    InetSocketAddress address();

    /**
     * Releases the slot, once.
     *
     * @param result how the run ended
     * @param durationUs the time from its start to its end, in microseconds
     * @param responseBytes the length of the response's body; -1 where no complete response came
     */
    void release(RunResult result, long durationUs, int responseBytes);
  }

  /**
   * The run that needs a slot.
   *
   * @param service the name of the service
   * @param operation the id of the operation
   * @param idempotencyKey the key of the request; null for classes without keys
   * @param keyExpiresAtUs when the key expires, in Unix microseconds; 0 without a key
   * @param requestBytes the length of the request's body
   */
  record LeaseRequest(
      String service,
      String operation,
      String idempotencyKey,
      long keyExpiresAtUs,
      int requestBytes) {}

  /** Takes a slot for a run; empty where no instance has one. */
  Optional<Lease> lease(LeaseRequest request, long nowUs);

  /** Whether no instance of a service accepts requests at all. */
  boolean hasNoAvailableInstance(String service);
}
