package rosecleat.fleet;

import java.util.List;

/**
 * What a process holds of its fleet at a moment.
 *
 * @param settled see {@link Agreement}
 * @param digest of the members that are there, equal where views are equal
 * @param members by name; a start that another of its name has taken the place of is left out
 */
public record View(MemberId self, boolean settled, long digest, List<Seen> members) {
  /** One member. */
  public record Seen(MemberId id, Endpoint at, String zone, State state, long incarnation) {}

  /** Those that are there. */
  public long here() {
    return members.stream().filter(m -> m.state().here()).count();
  }
}
