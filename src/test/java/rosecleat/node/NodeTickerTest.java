package rosecleat.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import rosecleat.core.DeliveryGuarantee;
import rosecleat.core.Request;
import rosecleat.core.Runner;

/** A tick that fails with an exception. */
class NodeTickerTest extends NodeLinksHarness {
  /** Guards all time-driven work: a tick that throws must not be the last one. */
  @Test
  void tickingContinuesAfterATickThatThrows() throws Exception {
    startServing();
    AtomicBoolean thrown = new AtomicBoolean();
    node.onLoop(() -> node.core().start(new FailingOnce(thrown), false, 0));
    await(thrown::get);
    CompletableFuture<Void> left = new CompletableFuture<>();
    node.beginShutdown(() -> left.complete(null));
    client.close();
    left.get(3, TimeUnit.SECONDS);
  }

  /** A runner that throws on the first request for gauges. */
  private record FailingOnce(AtomicBoolean thrown) implements Runner {
    @Override
    public void start(Request ask, DeliveryGuarantee guarantee, long dueUs) {}

    @Override
    public void cancel(String id) {}

    @Override
    public void completeCall(String id, byte[] reply) {}

    @Override
    public void skipCall(String id, long notice) {}

    @Override
    public void requestGauges() {
      if (!thrown.getAndSet(true)) {
        throw new IllegalStateException("thrown by the test");
      }
    }
  }
}
