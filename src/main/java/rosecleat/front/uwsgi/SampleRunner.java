package rosecleat.front.uwsgi;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import rosecleat.config.Backend;
import rosecleat.config.ServiceOperation;
import rosecleat.core.Core;
import rosecleat.core.DeliveryGuarantee;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.net.EventLoop;

/**
 * A runner that responds with the example in an operation's description after a delay, so that a
 * broker can be tried out without any service. All methods must be called on the event loop.
 */
public final class SampleRunner implements Runner {
  private static final int OK = 200;

  private final EventLoop loop;
  private final Core core;
  private final Map<String, Future<?>> runs = new HashMap<>();
  private Map<String, Backend.Sample> samplesByOperation = Map.of();

  /** Creates a runner that has no examples yet. */
  public SampleRunner(EventLoop loop, Core core) {
    this.loop = loop;
    this.core = core;
  }

  /** Replaces all examples with those of the given operations. */
  void reconfigure(List<ServiceOperation> operations) {
    Map<String, Backend.Sample> samples = new HashMap<>();
    for (ServiceOperation operation : operations) {
      if (operation.backend() instanceof Backend.Sample sample) {
        samples.put(operation.id(), sample);
      }
    }
    samplesByOperation = Map.copyOf(samples);
  }

  @Override
  public void start(Request request, DeliveryGuarantee guarantee, long deadlineUs) {
    String operation = request.attributes().get(RunAttributes.OPERATION);
    Backend.Sample sample = samplesByOperation.get(operation);
    if (sample == null) { // a reload removed the example after the request had arrived
      loop.execute(() -> core.runEnded(request.id(), RunResult.UNREACHABLE, 0));
      return;
    }
    Future<?> run = loop.schedule(sample.durationUs(), () -> complete(request.id(), sample));
    runs.put(request.id(), run);
  }

  @Override
  public void cancel(String id) {
    Future<?> run = runs.remove(id);
    if (run != null) {
      run.cancel(false);
      loop.execute(() -> core.runEnded(id, RunResult.CANCELLED, 0));
    }
  }

  /** Does nothing: these runs make no downstream calls. */
  @Override
  public void completeCall(String id, byte[] reply) {}

  /** Does nothing: these runs make no downstream calls. */
  @Override
  public void skipCall(String id, long callNumber) {}

  private void complete(String id, Backend.Sample sample) {
    runs.remove(id);
    core.counters().add("sample.runs");
    ServiceResponse response =
        new ServiceResponse(
            OK,
            List.of(new ServiceResponse.Header("Content-Type", sample.contentType())),
            sample.body());
    core.runEnded(id, RunResult.OK, ServiceResponseCodec.encode(response), sample.durationUs());
  }
}
