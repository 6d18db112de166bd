package rosecleat.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * All known members, including the dead ones and those that left: indexed by identity and by name,
 * with a ring of the other active members and the shuffled order in which they are probed.
 */
final class MemberList {
  private final Map<MemberId, Member> byId = new HashMap<>();
  private final Map<String, List<Member>> byName = new HashMap<>();

  /**
   * The other active members by hash: each member probes its successor on this ring in every
   * period.
   */
  private final TreeMap<Long, Member> ring = new TreeMap<>();

  /**
   * The other active members in the order of the current probe round; may contain members that are
   * no longer active.
   */
  private final List<Member> probeOrder = new ArrayList<>();

  private final List<Member> inactive = new ArrayList<>();
  private final MemberId self;
  private final RandomGenerator random;
  private int nextProbe;
  private long viewDigest;
  private long syncDigest;

  MemberList(MemberId self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  /** Returns the member with an identity, or null if it is unknown. */
  Member get(MemberId id) {
    return byId.get(id);
  }

  /** Returns all starts under a name. */
  List<Member> named(String name) {
    return byName.getOrDefault(name, List.of());
  }

  Collection<Member> all() {
    return byId.values();
  }

  int size() {
    return byId.size();
  }

  /** Returns the number of other active members. */
  int activePeerCount() {
    return ring.size();
  }

  /** Returns the digest of the active members. */
  long viewDigest() {
    return viewDigest;
  }

  /** Returns the digest of the active members with their states and incarnations. */
  long syncDigest() {
    return syncDigest;
  }

  void add(Member member) {
    byId.put(member.id, member);
    byName.computeIfAbsent(member.id.name(), name -> new ArrayList<>(1)).add(member);
    toggleDigests(member);
    insert(member);
  }

  /** Changes a member's state, incarnation or endpoint, and updates the digests and the indexes. */
  void change(Member member, Runnable change) {
    boolean wasActive = member.state.isActive();
    toggleDigests(member);
    change.run();
    toggleDigests(member);
    if (wasActive != member.state.isActive()) {
      withdraw(member, wasActive);
      insert(member);
    }
  }

  void remove(Member member) {
    toggleDigests(member);
    withdraw(member, member.state.isActive());
    byId.remove(member.id);
    List<Member> sameName = byName.get(member.id.name());
    sameName.remove(member);
    if (sameName.isEmpty()) {
      byName.remove(member.id.name());
    }
  }

  /**
   * Makes space for a new member by removing the one that has been inactive longest; returns false
   * if there is none.
   */
  boolean removeLongestInactive() {
    Member longest = null;
    for (Member member : inactive) {
      if (longest == null || member.stateSinceUs < longest.stateSinceUs) {
        longest = member;
      }
    }
    if (longest != null) {
      remove(longest);
    }
    return longest != null;
  }

  /** Adds a member's parts to the digests, or removes them: the digests are XOR sums. */
  private void toggleDigests(Member member) {
    viewDigest ^= member.viewDigestPart();
    syncDigest ^= member.syncDigestPart();
  }

  private void insert(Member member) {
    if (member.id.equals(self)) {
      return;
    }
    if (!member.state.isActive()) {
      inactive.add(member);
    } else if (ring.put(member.hash, member) == null) {
      // SWIM: a new member is inserted at a random position of the probe round
      probeOrder.add(random.nextInt(probeOrder.size() + 1), member);
    }
  }

  /**
   * Removes a member from the ring or the inactive list; its entry in the probe round is removed
   * when it is reached.
   */
  private void withdraw(Member member, boolean wasActive) {
    if (wasActive) {
      ring.remove(member.hash, member);
    } else {
      inactive.remove(member);
    }
  }

  /**
   * Returns the next active member on the ring after a hash, or null if no other member is active.
   */
  Member ringSuccessor(long hash) {
    if (ring.isEmpty()) {
      return null;
    }
    Map.Entry<Long, Member> next = ring.higherEntry(hash);
    return next != null ? next.getValue() : ring.firstEntry().getValue();
  }

  /**
   * Returns the next member of the probe round, in which each occurs once, or null if no other
   * member is active.
   */
  Member nextInProbeRound() {
    while (!probeOrder.isEmpty()) {
      if (nextProbe >= probeOrder.size()) {
        beginProbeRound();
        if (probeOrder.isEmpty()) {
          return null;
        }
      }
      Member member = probeOrder.get(nextProbe);
      if (isOnRing(member)) {
        nextProbe++;
        return member;
      }
      removeFromRound(nextProbe);
    }
    return null;
  }

  private void beginProbeRound() {
    nextProbe = 0;
    if (probeOrder.size() > ring.size()) {
      // members that returned before their former entry was removed are listed twice
      probeOrder.clear();
      probeOrder.addAll(ring.values());
      if (probeOrder.isEmpty()) {
        return;
      }
    }
    Collections.shuffle(probeOrder, new Random(random.nextLong()));
  }

  private boolean isOnRing(Member member) {
    return ring.get(member.hash) == member;
  }

  private void removeFromRound(int index) {
    Member last = probeOrder.remove(probeOrder.size() - 1);
    if (index < probeOrder.size()) {
      probeOrder.set(index, last);
    }
  }

  /** Returns up to {@code count} random other active members; {@code excluded} may be null. */
  List<Member> sample(int count, Member excluded) {
    List<Member> chosen = new ArrayList<>(count);
    int wanted = Math.min(count, ring.size());
    int maxDraws = 4 * count + 8;
    for (int draws = 0; draws < maxDraws && chosen.size() < wanted; draws++) {
      if (probeOrder.isEmpty()) {
        break;
      }
      Member drawn = probeOrder.get(random.nextInt(probeOrder.size()));
      if (drawn != excluded && isOnRing(drawn) && !chosen.contains(drawn)) {
        chosen.add(drawn);
      }
    }
    return chosen;
  }

  /** Returns a random member that is dead or has left, or null if there is none. */
  Member randomInactive() {
    return inactive.isEmpty() ? null : inactive.get(random.nextInt(inactive.size()));
  }

  /**
   * Returns whether more than half of the members that did not leave are active; dead starts that a
   * later start of their name replaced are not counted.
   */
  boolean hasActiveMajority() {
    int active = ring.size() + 1;
    int dead = 0;
    for (Member member : inactive) {
      if (member.state == MemberState.DEAD && isLatestStart(member)) {
        dead++;
      }
    }
    return 2 * active > active + dead;
  }

  /** Returns whether no later start under the member's name is known. */
  boolean isLatestStart(Member member) {
    for (Member other : named(member.id.name())) {
      if (other.id.epoch() > member.id.epoch()) {
        return false;
      }
    }
    return true;
  }

  /** Returns the members that are dead or have left. */
  List<Member> inactive() {
    return inactive;
  }
}
