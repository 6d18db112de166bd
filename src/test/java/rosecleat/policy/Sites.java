package rosecleat.policy;

import java.util.List;
import rosecleat.policy.PolicyApi.Below;
import rosecleat.policy.PolicyApi.Effect;
import rosecleat.policy.PolicyApi.Halt;
import rosecleat.policy.PolicyApi.Klass;
import rosecleat.policy.PolicyApi.Say;
import rosecleat.policy.PolicyApi.Settings;
import rosecleat.policy.PolicyApi.Tenant;

/** Settings for tests; their figures are made up. */
final class Sites {
  static final Klass SAFE = new Klass(1, 0, 1_000_000, 0, 3_000_000, Effect.SAFE, 0, false, 0);
  static final Klass KEYED =
      new Klass(3, 0, 1_000_000, 0, 2_500_000, Effect.KEYED, 8_000_000, false, 0);
  static final Klass UNSAFE = new Klass(5, 0, 1_000_000, 0, 2_000_000, Effect.UNSAFE, 0, false, 0);

  private Sites() {}

  static Settings with(
      Halt halt,
      Say say,
      Below below,
      double callsOut,
      double memoryKb,
      boolean cold,
      List<Tenant> tenants,
      List<Klass> classes) {
    return with(halt, say, below, callsOut, memoryKb, cold, false, 4, tenants, classes);
  }

  private static Settings with(
      Halt halt,
      Say say,
      Below below,
      double callsOut,
      double memoryKb,
      boolean cold,
      boolean marksRetry,
      int callers,
      List<Tenant> tenants,
      List<Klass> classes) {
    return new Settings(
        4,
        10,
        callers,
        cold,
        cold ? 0.3 : 1,
        15_000_000,
        memoryKb,
        8,
        20,
        6,
        2_000_000,
        1_500_000,
        60_000,
        false,
        true,
        marksRetry,
        false,
        0.05,
        halt,
        say,
        1_000_000,
        1_000_000,
        true,
        false,
        30_000_000,
        0,
        below,
        callsOut,
        5_000_000,
        200_000,
        4_000,
        classes,
        tenants);
  }

  static Settings crowded(Say say, int callers) {
    return with(
        Halt.DROP, say, Below.OFF, 0, 100_000, false, false, callers, List.of(), List.of(SAFE));
  }

  static Settings marked() {
    return with(
        Halt.DROP,
        Say.LEVEL,
        Below.OFF,
        0,
        100_000,
        false,
        true,
        4,
        List.of(),
        List.of(SAFE, KEYED, UNSAFE));
  }

  static Settings plain() {
    return plain(List.of(SAFE, KEYED, UNSAFE));
  }

  static Settings plain(List<Klass> classes) {
    return with(Halt.DROP, Say.LEVEL, Below.OFF, 0, 100_000, false, List.of(), classes);
  }
}
