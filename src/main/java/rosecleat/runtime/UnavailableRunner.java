package rosecleat.runtime;

import rosecleat.core.Core;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.net.EventLoop;

/** Stands where a node has no runtime, only backends: nothing is reached, so nothing runs. */
public final class UnavailableRunner implements Runner {
  private final EventLoop loop;
  private final Core core;

  /** A runner for a core that has none. */
  public UnavailableRunner(EventLoop loop, Core core) {
    this.loop = loop;
    this.core = core;
  }

  @Override
  public void start(Request request, long dueUs) {
    loop.execute(() -> core.runEnded(request.id(), RunResult.UNREACHABLE, null, 0));
  }

  @Override
  public void cancel(String id) {}

  @Override
  public void completeCall(String id, byte[] reply) {}

  @Override
  public void skipCall(String id, long notice) {}
}
