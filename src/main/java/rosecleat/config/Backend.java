package rosecleat.config;

import java.net.InetSocketAddress;

/** What does the work of a service's operations, where it is not the machine's runtime. */
public sealed interface Backend {
  /** One uwsgi service at an address. */
  record Uwsgi(InetSocketAddress at) implements Backend {}

  /**
   * The description's own example, answered after so long (us): for a first try without any
   * service.
   */
  record Sample(String contentType, byte[] body, long tookUs) implements Backend {}

  /** The instances that the table of routes names for a service. */
  record Fleet(String service) implements Backend {}
}
