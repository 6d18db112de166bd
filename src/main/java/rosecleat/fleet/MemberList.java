package rosecleat.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * All members that are known, dead ones with them; the ring of those that are there, and whose turn
 * it is.
 */
final class MemberList {
  private final Map<MemberId, Member> all = new HashMap<>();
  private final Map<String, List<Member>> byName = new HashMap<>();

  /** Others that are there, by hash: each watches the next one. */
  private final TreeMap<Long, Member> ring = new TreeMap<>();

  private final List<Member> turns = new ArrayList<>();
  private final List<Member> gone = new ArrayList<>();
  private final MemberId self;
  private final RandomGenerator random;
  private int turn;
  private long digest;
  private long sync;

  MemberList(MemberId self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  Member get(MemberId id) {
    return all.get(id);
  }

  List<Member> named(String name) {
    return byName.getOrDefault(name, List.of());
  }

  Collection<Member> all() {
    return all.values();
  }

  int size() {
    return all.size();
  }

  /** Others that are there. */
  int others() {
    return ring.size();
  }

  /** The digest of those that are there; and of all that is held of them. */
  long digest() {
    return digest;
  }

  long sync() {
    return sync;
  }

  void add(Member member) {
    all.put(member.id, member);
    byName.computeIfAbsent(member.id.name(), n -> new ArrayList<>(1)).add(member);
    digest ^= member.part();
    sync ^= member.syncPart();
    place(member);
  }

  /** Changes a member; every change of what is held goes through here. */
  void change(Member member, Runnable how) {
    boolean was = member.state.isActive();
    digest ^= member.part();
    sync ^= member.syncPart();
    how.run();
    digest ^= member.part();
    sync ^= member.syncPart();
    if (was != member.state.isActive()) {
      unplace(member, was);
      place(member);
    }
  }

  void remove(Member member) {
    digest ^= member.part();
    sync ^= member.syncPart();
    unplace(member, member.state.isActive());
    all.remove(member.id);
    List<Member> same = byName.get(member.id.name());
    same.remove(member);
    if (same.isEmpty()) {
      byName.remove(member.id.name());
    }
  }

  private void place(Member member) {
    if (member.id.equals(self)) {
      return;
    }
    if (!member.state.isActive()) {
      gone.add(member);
    } else if (ring.put(member.hash, member) == null) {
      turns.add(
          random.nextInt(turns.size() + 1),
          member); // as SWIM has it: a place in the round at random
    }
  }

  private void unplace(Member member, boolean wasHere) {
    if (wasHere) {
      ring.remove(member.hash, member); // its place in the round goes when its turn comes
    } else {
      gone.remove(member);
    }
  }

  /** The member that this process watches: the next one round the ring. */
  Member watched(long ownHash) {
    Map.Entry<Long, Member> next = ring.higherEntry(ownHash);
    return next != null ? next.getValue() : ring.isEmpty() ? null : ring.firstEntry().getValue();
  }

  /** Whose turn it is to be pinged: each once in a round, in an order of this process's own. */
  Member next() {
    while (!turns.isEmpty()) {
      if (turn >= turns.size()) {
        turn = 0;
        if (turns.size() > ring.size()) { // some came back before their old place had gone
          turns.clear();
          turns.addAll(ring.values());
          if (turns.isEmpty()) {
            return null;
          }
        }
        java.util.Collections.shuffle(turns, new java.util.Random(random.nextLong()));
      }
      Member member = turns.get(turn);
      if (ring.get(member.hash) == member) {
        turn++;
        return member;
      }
      Member last = turns.remove(turns.size() - 1);
      if (turn < turns.size()) {
        turns.set(turn, last);
      }
    }
    return null;
  }

  /** Some others that are there, at random, without one. */
  List<Member> some(int count, Member without) {
    List<Member> chosen = new ArrayList<>(count);
    for (int tries = 0;
        tries < 4 * count + 8 && chosen.size() < Math.min(count, ring.size()) && !turns.isEmpty();
        tries++) {
      Member one = turns.get(random.nextInt(turns.size()));
      if (one != without && ring.get(one.hash) == one && !chosen.contains(one)) {
        chosen.add(one);
      }
    }
    return chosen;
  }

  /** One of those that are gone, at random; null where there is none. */
  Member gone() {
    return gone.isEmpty() ? null : gone.get(random.nextInt(gone.size()));
  }

  /** Those that did not say that they go: there, or dead. */
  int expected() {
    int dead = 0;
    for (Member member : gone) {
      dead += member.state == MemberState.DEAD && newest(member) ? 1 : 0;
    }
    return ring.size() + 1 + dead;
  }

  /** Whether no later start of its name is known. */
  boolean newest(Member member) {
    for (Member other : named(member.id.name())) {
      if (other.id.epoch() > member.id.epoch()) {
        return false;
      }
    }
    return true;
  }

  List<Member> goneOnes() {
    return gone;
  }
}
