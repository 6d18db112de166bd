package rosecleat.policy;

import java.util.List;

/** Builds {@link PolicySettings} for tests, with arbitrary example values. */
final class TestSettings {
  static final PriorityClass SAFE =
      new PriorityClass(1, 0, 1_000_000, 0, 3_000_000, Idempotency.SAFE, 0, false, 0);
  static final PriorityClass KEYED =
      new PriorityClass(3, 0, 1_000_000, 0, 2_500_000, Idempotency.KEYED, 8_000_000, false, 0);
  static final PriorityClass UNSAFE =
      new PriorityClass(5, 0, 1_000_000, 0, 2_000_000, Idempotency.UNSAFE, 0, false, 0);

  private TestSettings() {}

  static PolicySettings with(
      CancelMode cancelMode,
      LoadAdviceMode loadAdviceMode,
      DownstreamMode downstreamMode,
      double concurrentCalls,
      double memoryKb,
      boolean coldStart,
      List<TenantQuota> tenants,
      List<PriorityClass> classes) {
    return with(
        cancelMode,
        loadAdviceMode,
        downstreamMode,
        concurrentCalls,
        memoryKb,
        coldStart,
        false,
        4,
        tenants,
        classes);
  }

  private static PolicySettings with(
      CancelMode cancelMode,
      LoadAdviceMode loadAdviceMode,
      DownstreamMode downstreamMode,
      double concurrentCalls,
      double memoryKb,
      boolean coldStart,
      boolean marksRetries,
      int callers,
      List<TenantQuota> tenants,
      List<PriorityClass> classes) {
    return new PolicySettings(
        4,
        10,
        callers,
        coldStart,
        coldStart ? 0.3 : 1,
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
        marksRetries,
        false,
        0.05,
        cancelMode,
        loadAdviceMode,
        1_000_000,
        1_000_000,
        true,
        false,
        30_000_000,
        0,
        downstreamMode,
        concurrentCalls,
        5_000_000,
        200_000,
        4_000,
        classes,
        tenants);
  }

  /** Returns settings of a server whose requests call a shared dependency, with a quota. */
  static PolicySettings sharedDownstream(double concurrentCalls, PriorityClass... classes) {
    return with(
        CancelMode.DROP,
        LoadAdviceMode.OFF,
        DownstreamMode.SHARED,
        concurrentCalls,
        100_000,
        false,
        List.of(),
        List.of(classes));
  }

  /** Returns settings of a server whose requests make no downstream calls. */
  static PolicySettings withoutDownstream(
      CancelMode cancelMode,
      LoadAdviceMode loadAdviceMode,
      double memoryKb,
      boolean coldStart,
      PriorityClass... classes) {
    return with(
        cancelMode,
        loadAdviceMode,
        DownstreamMode.OFF,
        0,
        memoryKb,
        coldStart,
        List.of(),
        List.of(classes));
  }

  /** Returns settings of a server with tenants, whose load advice to callers is a weight. */
  static PolicySettings withTenants(List<TenantQuota> tenants, PriorityClass... classes) {
    return with(
        CancelMode.DROP,
        LoadAdviceMode.WEIGHT,
        DownstreamMode.OFF,
        0,
        100_000,
        false,
        tenants,
        List.of(classes));
  }

  static PolicySettings withCallers(LoadAdviceMode loadAdviceMode, int callers) {
    return with(
        CancelMode.DROP,
        loadAdviceMode,
        DownstreamMode.OFF,
        0,
        100_000,
        false,
        false,
        callers,
        List.of(),
        List.of(SAFE));
  }

  static PolicySettings withMarkedRetries() {
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
