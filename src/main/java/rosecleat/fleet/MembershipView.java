package rosecleat.fleet;

import java.util.List;

/**
 * What a process holds of its fleet at a moment.
 *
 * @param settled see {@link ConvergenceDetector}
 * @param digest of the members that are there, equal where views are equal
 * @param members by name; a start that another of its name has taken the place of is left out
 */
public record MembershipView(
    MemberId self, boolean settled, long digest, List<MemberInfo> members) {
  /** One member. */
  public record MemberInfo(
      MemberId id, Endpoint at, String zone, MemberState state, long incarnation) {}

  /** Those that are there. */
  public long activeCount() {
    return members.stream().filter(m -> m.state().isActive()).count();
  }
}
