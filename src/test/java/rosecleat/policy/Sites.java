package rosecleat.policy;

import java.util.List;

/** PolicySettings for tests; their figures are made up. */
final class Sites {
  static final PriorityClass SAFE =
      new PriorityClass(1, 0, 1_000_000, 0, 3_000_000, Idempotency.SAFE, 0, false, 0);
  static final PriorityClass KEYED =
      new PriorityClass(3, 0, 1_000_000, 0, 2_500_000, Idempotency.KEYED, 8_000_000, false, 0);
  static final PriorityClass UNSAFE =
      new PriorityClass(5, 0, 1_000_000, 0, 2_000_000, Idempotency.UNSAFE, 0, false, 0);

  private Sites() {}

  static PolicySettings with(
      CancelMode halt,
      LoadAdviceMode say,
      DownstreamMode below,
      double callsOut,
      double memoryKb,
      boolean cold,
      List<TenantQuota> tenants,
      List<PriorityClass> classes) {
    return with(halt, say, below, callsOut, memoryKb, cold, false, 4, tenants, classes);
  }

  private static PolicySettings with(
      CancelMode halt,
      LoadAdviceMode say,
      DownstreamMode below,
      double callsOut,
      double memoryKb,
      boolean cold,
      boolean marksRetry,
      int callers,
      List<TenantQuota> tenants,
      List<PriorityClass> classes) {
    return new PolicySettings(
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

  static PolicySettings crowded(LoadAdviceMode say, int callers) {
    return with(
        CancelMode.DROP,
        say,
        DownstreamMode.OFF,
        0,
        100_000,
        false,
        false,
        callers,
        List.of(),
        List.of(SAFE));
  }

  static PolicySettings marked() {
    return with(
        CancelMode.DROP,
        LoadAdviceMode.LEVEL,
        DownstreamMode.OFF,
        0,
        100_000,
        false,
        true,
        4,
        List.of(),
        List.of(SAFE, KEYED, UNSAFE));
  }

  static PolicySettings plain() {
    return plain(List.of(SAFE, KEYED, UNSAFE));
  }

  static PolicySettings plain(List<PriorityClass> classes) {
    return with(
        CancelMode.DROP,
        LoadAdviceMode.LEVEL,
        DownstreamMode.OFF,
        0,
        100_000,
        false,
        List.of(),
        classes);
  }
}
