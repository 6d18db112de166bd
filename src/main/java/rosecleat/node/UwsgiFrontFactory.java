package rosecleat.node;

import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.core.Core;
import rosecleat.core.Runner;
import rosecleat.front.uwsgi.InstanceBalancer;
import rosecleat.front.uwsgi.UwsgiFrontend;
import rosecleat.front.uwsgi.UwsgiRunner;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/**
 * Puts the uwsgi front together; a class of its own, so that a node without one loads nothing of
 * what it needs.
 */
final class UwsgiFrontFactory {
  private UwsgiFrontFactory() {}

  static UwsgiFrontend of(
      EventLoop loop,
      BrokerConfig broker,
      Core core,
      Runner runner,
      FleetIntegration sharing,
      LongSupplier clock,
      Log log,
      long seed) {
    InstanceBalancer instances = sharing == null ? InstanceBalancer.NONE : sharing.pools();
    return new UwsgiFrontend(
        loop,
        broker,
        core,
        runner,
        new UwsgiRunner(loop, core, clock, broker.limits().responseBytes(), instances),
        instances,
        clock,
        log,
        seed);
  }
}
