package rosecleat.front.uwsgi;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import rosecleat.config.Backend;
import rosecleat.config.ServiceOperation;
import rosecleat.core.Core;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.net.EventLoop;

/**
 * Answers with the description's example after a while, so that a broker can be tried without any
 * service.
 */
public final class SampleRunner implements Runner {
  private final EventLoop loop;
  private final Core core;
  private final Map<String, Future<?>> runs = new HashMap<>();
  private Map<String, Backend.Sample> samples = Map.of();

  /** A runner that has no examples yet. */
  public SampleRunner(EventLoop loop, Core core) {
    this.loop = loop;
    this.core = core;
  }

  /** The examples in force. */
  void use(List<ServiceOperation> operations) {
    Map<String, Backend.Sample> fresh = new HashMap<>();
    for (ServiceOperation operation : operations) {
      if (operation.backend() instanceof Backend.Sample sample) {
        fresh.put(operation.id(), sample);
      }
    }
    samples = Map.copyOf(fresh);
  }

  @Override
  public void start(Request request, long dueUs) {
    Backend.Sample sample = samples.get(request.attributes().get(UwsgiRunner.OPERATION));
    if (sample == null) { // its operation is no sample any more
      loop.execute(() -> core.runEnded(request.id(), RunResult.UNREACHABLE, null, 0));
      return;
    }
    byte[] reply =
        new ServiceReply(
                200,
                List.of(new ServiceReply.Header("Content-Type", sample.contentType())),
                sample.body())
            .result();
    runs.put(
        request.id(),
        loop.schedule(
            sample.durationUs(),
            () -> {
              runs.remove(request.id());
              core.counters().add("sample.runs");
              core.runEnded(request.id(), RunResult.OK, reply, sample.durationUs());
            }));
  }

  @Override
  public void cancel(String id) {
    Future<?> run = runs.remove(id);
    if (run != null) {
      run.cancel(false);
      loop.execute(() -> core.runEnded(id, RunResult.CANCELLED, null, 0));
    }
  }

  @Override
  public void completeCall(String id, byte[] reply) {}

  @Override
  public void skipCall(String id, long notice) {}
}
