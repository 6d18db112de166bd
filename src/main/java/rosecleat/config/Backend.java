package rosecleat.config;

import java.net.InetSocketAddress;

/** What executes the operations of a service. */
public sealed interface Backend {
  /** The machine's runtime, which knows operations by their class. */
  record MachineRuntime() implements Backend {}

  /**
   * One uwsgi service.
   *
   * @param address where it listens
   */
  record Uwsgi(InetSocketAddress address) implements Backend {}

  /**
   * The example of the operation's description, for a first try without any service.
   *
   * @param contentType the media type of the response
   * @param body the body of the response
   * @param durationUs the time until the response, in microseconds
   */
  record Sample(String contentType, byte[] body, long durationUs) implements Backend {}

  /**
   * The instances that the fleet's routes name for a service.
   *
   * @param service the service's name
   */
  record Fleet(String service) implements Backend {}
}
