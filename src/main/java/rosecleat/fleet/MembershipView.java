package rosecleat.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable snapshot of a process's view of its fleet; safe for any thread.
 *
 * @param self the identity of the process itself
 * @param settled whether the view has converged; see {@link ConvergenceDetector}
 * @param digest the digest of the active members, equal where views are equal
 * @param members the members by name and epoch; of each name the active starts, or the latest start
 *     if none is active
 */
public record MembershipView(
    MemberId self, boolean settled, long digest, List<MemberInfo> members) {
  /** One member. */
  public record MemberInfo(
      MemberId id, Endpoint endpoint, String zone, MemberState state, long incarnation) {}

  private static final Comparator<MemberInfo> BY_NAME_AND_EPOCH =
      Comparator.comparing((MemberInfo info) -> info.id().name())
          .thenComparingLong(info -> info.id().epoch());

  static MembershipView of(MemberId self, boolean settled, MemberList members) {
    Map<String, List<Member>> startsByName = new HashMap<>();
    for (Member member : members.all()) {
      startsByName.computeIfAbsent(member.id.name(), name -> new ArrayList<>(1)).add(member);
    }
    List<MemberInfo> shown = new ArrayList<>();
    for (List<Member> starts : startsByName.values()) {
      boolean anyActive = starts.stream().anyMatch(start -> start.state.isActive());
      for (Member start : starts) {
        if (anyActive ? start.state.isActive() : members.isLatestStart(start)) {
          shown.add(infoOf(start));
        }
      }
    }
    shown.sort(BY_NAME_AND_EPOCH);
    return new MembershipView(self, settled, members.viewDigest(), List.copyOf(shown));
  }

  private static MemberInfo infoOf(Member member) {
    return new MemberInfo(
        member.id, member.endpoint, member.zone, member.state, member.incarnation);
  }

  /** Returns the number of active members. */
  public long activeCount() {
    return members.stream().filter(member -> member.state().isActive()).count();
  }
}
