package rosecleat.config;

import java.net.InetSocketAddress;

/** The kind of backend that executes the operations of a service. */
public sealed interface Backend {
  /** The machine's runtime, which identifies operations by their request class. */
  record MachineRuntime() implements Backend {}

  /**
   * A single uwsgi service.
   *
   * @param address the address on which the service listens
   */
  record Uwsgi(InetSocketAddress address) implements Backend {}

  /**
   * A fixed response, taken from the example in the operation's API description. It serves to try
   * out the broker without any service.
   *
   * @param contentType the media type of the response
   * @param body the body of the response
   * @param durationUs the delay before the response is sent, in microseconds
   */
  record Sample(String contentType, byte[] body, long durationUs) implements Backend {}

  /**
   * The instances that the fleet's routing table lists for a service.
   *
   * @param service the service's name
   */
  record Fleet(String service) implements Backend {}
}
