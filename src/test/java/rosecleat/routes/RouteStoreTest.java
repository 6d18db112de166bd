package rosecleat.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import rosecleat.fleet.wire.MemberUpdateMessage;

/** Books of routes against plain maps: any order, any loss, any author. */
class RouteStoreTest {
  private static final MemberUpdateMessage SELF = MemberUpdateMessage.getDefaultInstance();

  private static RouteEntry entry(long c) {
    long what = Math.floorMod(c / 64, 5);
    Instance instance =
        what == 0 ? null : new Instance("10.0.0." + what, 9000, "z", 1, Instance.State.ON, 0);
    return new RouteEntry(
        new RouteEntry.Key("s" + Math.floorMod(c, 2), "i" + Math.floorMod(c / 2, 8)),
        instance,
        1 + Math.floorMod(c / 16, 4),
        "a" + Math.floorMod(c / 400, 2));
  }

  private static RouteStore of(List<RouteEntry> entries) {
    RouteStore book = new RouteStore();
    entries.forEach(e -> book.merge(List.of(e)));
    return book;
  }

  /** Plays an exchange; {@code frames} of it arrive, then the connection breaks. */
  private static void meet(RouteStore one, RouteStore other, int frames) {
    RouteSyncSession opener = new RouteSyncSession(one, true, "c", () -> SELF, () -> {}, () -> {});
    RouteSyncSession answers =
        new RouteSyncSession(other, false, "c", () -> SELF, () -> {}, () -> {});
    byte[] frame = opener.nextFrame(null, 0);
    for (int i = 0; frame != null && i < frames; i++) {
      frame = (i % 2 == 0 ? answers : opener).nextFrame(frame, 0);
    }
  }

  @Property(tries = 500)
  void anyOrderEndsTheSameAndExchangesMakeSidesEqual(
      @ForAll @Size(max = 40) List<Long> mine,
      @ForAll @Size(max = 40) List<Long> theirs,
      @ForAll long seed) {
    List<RouteEntry> a = mine.stream().map(RouteStoreTest::entry).toList();
    List<RouteEntry> b = theirs.stream().map(RouteStoreTest::entry).toList();
    List<RouteEntry> all = new ArrayList<>(a);
    all.addAll(b);
    Collections.shuffle(all, new Random(seed));
    all.addAll(a); // some come twice
    RouteStore one = of(a);
    RouteStore other = of(b);
    meet(one, other, Math.floorMod(seed, 3)); // torn: changes nothing that matters
    meet(one, other, 9);
    meet(
        one, other,
        9); // what the answering side lacked and the opener could not know is found the other way
    meet(other, one, 9);
    assertEquals(of(all).stateDigest(), one.stateDigest());
    assertEquals(one.stateDigest(), other.stateDigest());
    assertEquals(one.table().digest(), other.table().digest());
    assertEquals(of(all).table().services(), one.table().services());
  }

  @Property(tries = 500)
  void aDiffIsTheFewestStepsAndGoesBothWays(
      @ForAll @Size(max = 60) List<Long> first, @ForAll @Size(max = 20) List<Long> then) {
    RouteStore book = of(first.stream().map(RouteStoreTest::entry).toList());
    RouteTable before = book.table();
    then.forEach(c -> book.merge(List.of(entry(c + 16 * 3))));
    RouteTable after = book.table();
    Map<RouteEntry.Key, Instance> a = flat(before);
    Map<RouteEntry.Key, Instance> b = flat(after);
    List<RouteTable.RouteChange> steps = before.diff(after);
    java.util.Set<RouteEntry.Key> keys = new java.util.HashSet<>(a.keySet());
    keys.addAll(b.keySet());
    keys.removeIf(k -> java.util.Objects.equals(a.get(k), b.get(k)));
    assertEquals(keys.size(), steps.size()); // no step can do for two keys
    Map<RouteEntry.Key, Instance> played = new HashMap<>(a);
    for (RouteTable.RouteChange step : steps) {
      assertEquals(played.get(step.key()), step.before());
      if (step.after() == null) {
        played.remove(step.key());
      } else {
        played.put(step.key(), step.after());
      }
    }
    assertEquals(b, played);
    for (RouteTable.RouteChange step : after.diff(before)) {
      assertTrue(steps.contains(step.inverse()));
    }
    assertEquals(a.equals(b), before.digest() == after.digest());
  }

  private static Map<RouteEntry.Key, Instance> flat(RouteTable table) {
    Map<RouteEntry.Key, Instance> flat = new HashMap<>();
    table
        .services()
        .forEach((s, all) -> all.forEach((n, i) -> flat.put(new RouteEntry.Key(s, n), i)));
    return flat;
  }

  /**
   * Authors by their files: what another wrote since stays, a removal does not come back, equal
   * content is one table.
   */
  @Property(tries = 50)
  void authorsFollowTheRuleByEntry(@ForAll long seed) {
    Random random = new Random(seed);
    RouteStore one = new RouteStore();
    RouteStore other = new RouteStore();
    Map<RouteEntry.Key, Instance> file = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      file.put(
          new RouteEntry.Key("s", "i" + i),
          new Instance("10.0.0.1", 1 + random.nextInt(50), "", 1, Instance.State.ON, 0));
    }
    one.publish("a", file);
    other.publish("b", file); // the same by another author: the same table, known by what it holds
    assertEquals(one.table().digest(), other.table().digest());
    meet(one, other, 9);
    RouteEntry.Key gone = new RouteEntry.Key("s", "i" + random.nextInt(40));
    Map<RouteEntry.Key, Instance> less = new HashMap<>(file);
    less.remove(gone);
    String owner = "b"; // of equal times the greater author's entry holds
    meet(other, one, 9);
    assertTrue(one.publish(owner, less));
    meet(other, one, 9);
    assertEquals(39, flat(other.table()).size());
    meet(of(List.of(new RouteEntry(gone, file.get(gone), 1, "b"))), other, 9); // an old rumour
    assertEquals(39, flat(other.table()).size());
  }

  /**
   * A change of few in many costs by the change: the far side of 20,000 entries is not looked at.
   */
  @org.junit.jupiter.api.Test
  void aFollowerOfAKnownStateIsToldTheChangeAlone() {
    RouteStore author = new RouteStore();
    Map<RouteEntry.Key, Instance> file = new HashMap<>();
    for (int i = 0; i < 20_000; i++) {
      file.put(
          new RouteEntry.Key("s" + i % 50, "i" + i),
          new Instance("10.0.0.1", 1 + i % 60_000, "", 1, Instance.State.ON, 0));
    }
    author.publish("a", file);
    RouteStore follower = new RouteStore();
    meet(follower, author, 9);
    assertEquals(author.stateDigest(), follower.stateDigest());
    for (int i = 0; i < 10; i++) {
      file.put(
          new RouteEntry.Key("s" + i, "i" + i),
          new Instance("10.0.0.2", 7, "", 1, Instance.State.DRAIN, 0));
    }
    author.publish("a", file);
    RouteSyncSession opener =
        new RouteSyncSession(follower, true, "c", () -> SELF, () -> {}, () -> {});
    RouteSyncSession answers =
        new RouteSyncSession(author, false, "c", () -> SELF, () -> {}, () -> {});
    byte[] told = answers.nextFrame(opener.nextFrame(null, 0), 0);
    assertTrue(told.length < 1_500, "told " + told.length + " bytes");
    opener.nextFrame(told, 0);
    assertEquals(author.stateDigest(), follower.stateDigest());
  }
}
