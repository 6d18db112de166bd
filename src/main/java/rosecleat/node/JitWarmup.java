package rosecleat.node;

import java.util.ArrayDeque;
import rosecleat.config.NodeConfig;
import rosecleat.core.CallResult;
import rosecleat.core.Core;
import rosecleat.core.CoreSettings;
import rosecleat.core.Counters;
import rosecleat.core.DeliveryGuarantee;
import rosecleat.core.DownstreamClient;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.front.resp.RespWarmup;
import rosecleat.log.Log;
import rosecleat.policy.PolicyEngine;
import rosecleat.runtime.RuntimeMessageWarmup;

/**
 * Executes complete requests in memory before a node listens, so that the JIT compiler compiles the
 * code that serves them. A node whose code is still interpreted responds late to its first clients
 * and grants them too little capacity for a second or two. No state of the warm-up outlives it.
 */
final class JitWarmup {
  private static final int MAX_REQUESTS = 2_000;
  private static final long MAX_DURATION_NS = 800_000_000;

  /** Simulated time between two requests (us). */
  private static final long REQUEST_INTERVAL_US = 5_000;

  /** Start of the simulated time (Unix time in us). */
  private static final long START_US = 1_000_000_000_000_000L;

  private static final long RUN_TIME_US = 20_000;
  private static final byte[] PAYLOAD = new byte[200];
  private static final double[] GAUGES = {0.5, 3, 0.1, 4};

  private final ArrayDeque<Request> started = new ArrayDeque<>();
  private final ArrayDeque<String> calls = new ArrayDeque<>();
  private final RuntimeMessageWarmup messages = new RuntimeMessageWarmup();
  private final Counters counters = new Counters();
  private long nowUs = START_US;
  private CoreSettings settings;
  private Core core;

  private JitWarmup() {}

  /** Executes requests under a configuration; returns how many of them were served. */
  static long run(NodeConfig config) {
    return new JitWarmup().serveRequests(config);
  }

  private long serveRequests(NodeConfig config) {
    long endNs = System.nanoTime() + MAX_DURATION_NS;
    IndexedSettings indexed = new IndexedSettings(ProcessConfig.of(config));
    settings = indexed.coreSettings();
    PolicyEngine policy =
        new PolicyEngine(indexed.policySettings(), indexed.gauges(), config.seed());
    // A silent log starts no thread, which keeps the start of a node short.
    try (Log silent = Log.silent()) {
      core = new Core(settings, policy, new CallQueue(), () -> nowUs, counters, silent);
      Runner runner = new RunQueue();
      core.start(runner, false, 0);
      RespWarmup front = new RespWarmup(indexed.requestCatalog(runner));
      for (int n = 1; n <= MAX_REQUESTS && System.nanoTime() < endNs; n++) {
        front.submitRequest(core, n, nowUs);
        nowUs += REQUEST_INTERVAL_US;
        core.tick();
        completeRuns();
      }
    }
    return counters.get("answers.served");
  }

  private void completeRuns() {
    while (!started.isEmpty()) {
      Request request = started.remove();
      if (settings.classes().get(request.classIndex()).callsDownstream()) {
        byte[] body = messages.roundTrip("wants", request.id(), request.body());
        core.callRequested(request.id(), 1, body);
      }
      while (!calls.isEmpty()) {
        core.callEnded(calls.remove(), CallResult.OK, PAYLOAD);
      }
      byte[] result = messages.roundTrip("end", request.id(), PAYLOAD);
      core.runEnded(request.id(), RunResult.OK, result, RUN_TIME_US);
    }
  }

  /** Collects the requests that the core starts. */
  private final class RunQueue implements Runner {
    @Override
    public void start(Request request, DeliveryGuarantee guarantee, long dueUs) {
      started.add(request);
    }

    @Override
    public void cancel(String id) {}

    @Override
    public void completeCall(String id, byte[] reply) {}

    @Override
    public void skipCall(String id, long notice) {}

    @Override
    public void requestGauges() {
      core.gaugesReceived(GAUGES);
    }
  }

  /** Collects the downstream calls that the core makes. */
  private final class CallQueue implements DownstreamClient {
    @Override
    public void call(String id, long untilUs, byte[] body) {
      calls.add(id);
    }

    @Override
    public void cancel(String id) {}
  }
}
