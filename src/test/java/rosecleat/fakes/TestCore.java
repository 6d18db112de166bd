package rosecleat.fakes;

import java.util.List;
import java.util.function.LongSupplier;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.CoreSettings;
import rosecleat.core.Counters;
import rosecleat.core.RequestClass;
import rosecleat.log.Log;
import rosecleat.policy.PolicyEngine;

/** Creates cores with the policy of {@link TestSite}, for tests of the code that surrounds them. */
public final class TestCore {
  private static final long RESPONSE_SLACK_US = 80_000;
  private static final long GRACE_US = 1_500_000;
  private static final int MAX_RESULT_BYTES = 1 << 20;
  private static final int STOP_MS = 3_000;
  private static final int GRACE_MS = 1_500;
  private static final long SEED = 5;

  private TestCore() {}

  /** Creates a core whose runs make no downstream calls. */
  public static Core create(
      List<RequestClass> classes,
      List<String> tenants,
      long idleTimeoutUs,
      LongSupplier clock,
      Log log) {
    NodeConfig config = TestSite.config(0, 0, 0, STOP_MS, GRACE_MS);
    return new Core(
        new CoreSettings(
            TestSite.CORES,
            classes,
            tenants,
            RESPONSE_SLACK_US,
            GRACE_US,
            idleTimeoutUs,
            MAX_RESULT_BYTES),
        new PolicyEngine(config.settings().policy(), config.settings().gaugeNames(), SEED),
        new UnusedDownstreamClient(),
        clock,
        new Counters(),
        log);
  }
}
