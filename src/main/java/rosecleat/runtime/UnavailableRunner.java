package rosecleat.runtime;

import rosecleat.core.Core;
import rosecleat.core.DeliveryGuarantee;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.net.EventLoop;

/**
 * The runner of a node that has no runtime, only backends: every run ends as unreachable, so
 * nothing is executed.
 */
public final class UnavailableRunner implements Runner {
  private final EventLoop loop;
  private final Core core;

  /** Creates a runner that reports the end of runs to the core, on the event loop. */
  public UnavailableRunner(EventLoop loop, Core core) {
    this.loop = loop;
    this.core = core;
  }

  @Override
  public void start(Request request, DeliveryGuarantee guarantee, long deadlineUs) {
    loop.execute(() -> core.runEnded(request.id(), RunResult.UNREACHABLE, 0));
  }

  @Override
  public void cancel(String id) {}

  @Override
  public void completeCall(String id, byte[] reply) {}

  @Override
  public void skipCall(String id, long callNumber) {}
}
