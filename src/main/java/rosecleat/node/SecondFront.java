package rosecleat.node;

import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.core.Core;
import rosecleat.core.Runner;
import rosecleat.front.uwsgi.Instances;
import rosecleat.front.uwsgi.UwsgiFront;
import rosecleat.front.uwsgi.UwsgiRunner;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/**
 * Puts the uwsgi front together; a class of its own, so that a node without one loads nothing of
 * what it needs.
 */
final class SecondFront {
  private SecondFront() {}

  static UwsgiFront of(
      EventLoop loop,
      BrokerConfig broker,
      Core core,
      Runner runner,
      Sharing sharing,
      LongSupplier clock,
      Log log,
      long seed) {
    Instances instances = sharing == null ? Instances.EMPTY : sharing.pools();
    return new UwsgiFront(
        loop,
        broker,
        core,
        runner,
        new UwsgiRunner(loop, core, clock, broker.limits().replyBytes(), instances),
        instances,
        clock,
        log,
        seed);
  }
}
