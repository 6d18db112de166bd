package rosecleat.node;

import java.util.ArrayDeque;
import rosecleat.config.NodeConfig;
import rosecleat.core.CallResult;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.DownstreamClient;
import rosecleat.core.Request;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.front.resp.RespWarmup;
import rosecleat.log.Log;
import rosecleat.policy.PolicyEngine;
import rosecleat.runtime.RuntimeMessageWarmup;

/**
 * Lives of made-up requests, played in memory before a node listens. Guards its first callers: code
 * that runs for the first time is interpreted, and a node that is still compiling answers late and
 * is out of credit for a second or two. Everything it touches is thrown away.
 */
final class JitWarmup {
  private static final int REQUESTS = 2_000;
  private static final long LONGEST_NS = 800_000_000;
  private static final long STEP_US = 5_000;
  private static final byte[] REPLY = new byte[200];

  private final ArrayDeque<Request> started = new ArrayDeque<>();
  private final ArrayDeque<String> calls = new ArrayDeque<>();
  private final RuntimeMessageWarmup notices = new RuntimeMessageWarmup();
  private long nowUs = 1_000_000_000_000_000L;
  private Core core;

  private final Runner runner =
      new Runner() {
        @Override
        public void start(Request request, long dueUs) {
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
          core.gaugesReceived(new double[] {0.5, 3, 0.1, 4});
        }
      };

  private final DownstreamClient ledger =
      new DownstreamClient() {
        @Override
        public void call(String id, long untilUs, byte[] body) {
          calls.add(id);
        }

        @Override
        public void cancel(String id) {}
      };

  private JitWarmup() {}

  /** Plays; returns how many requests were served. */
  static long play(NodeConfig config) {
    return new JitWarmup().lives(config);
  }

  private long lives(NodeConfig config) {
    long endNs = System.nanoTime() + LONGEST_NS;
    Counters counters = new Counters();
    IndexedSettings settings = new IndexedSettings(new ProcessConfig(config, null));
    try (Log quiet = Log.silent()) { // a starting node makes no thread that it can do without
      core =
          new Core(
              settings.coreSettings(),
              new PolicyEngine(settings.policySettings(), settings.gauges(), config.seed()),
              ledger,
              () -> nowUs,
              counters,
              quiet);
      core.start(runner, false, 0);
      RespWarmup front = new RespWarmup(settings.requestCatalog(runner));
      for (int n = 1; n <= REQUESTS && System.nanoTime() < endNs; n++) {
        front.submitRequest(core, n, nowUs);
        nowUs += STEP_US;
        core.tick();
        finish();
      }
    }
    return counters.get("answers.served");
  }

  private void finish() {
    while (!started.isEmpty()) {
      Request request = started.remove();
      if (core.callsDownstream(request.classIndex())) {
        core.callRequested(
            request.id(), 1, notices.roundTrip("wants", request.id(), request.body()));
      }
      while (!calls.isEmpty()) {
        core.callEnded(calls.remove(), CallResult.OK, REPLY);
      }
      core.runEnded(
          request.id(), RunResult.OK, notices.roundTrip("end", request.id(), REPLY), 20_000);
    }
  }
}
