package rosecleat.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rosecleat.fleet.wire.MemberUpdateMessage;

/** Compares route stores with plain maps, for any order of delivery, loss of frames and author. */
class RouteStoreTest {
  private static final MemberUpdateMessage SELF = MemberUpdateMessage.getDefaultInstance();

  /** A number of frames that no exchange exceeds, so that it completes. */
  private static final int ALL_FRAMES = 9;

  /**
   * Returns an entry from a small set of keys, times and authors, so that many entries conflict;
   * some are tombstones.
   */
  private static RouteEntry entryOf(long choice) {
    long content = Math.floorMod(choice / 64, 5);
    Instance instance = content == 0 ? null : instance("10.0.0." + content, 9_000, "z");
    return new RouteEntry(
        new RouteEntry.Key("s" + Math.floorMod(choice, 2), "i" + Math.floorMod(choice / 2, 8)),
        instance,
        1 + Math.floorMod(choice / 16, 4),
        "a" + Math.floorMod(choice / 400, 2));
  }

  private static Instance instance(String host, int port, String zone) {
    return new Instance(host, port, zone, 1, Instance.State.ON, 0);
  }

  private static RouteStore storeOf(List<RouteEntry> entries) {
    RouteStore store = new RouteStore();
    entries.forEach(entry -> store.merge(List.of(entry)));
    return store;
  }

  private static RouteSyncSession session(RouteStore store, boolean opener) {
    return new RouteSyncSession(store, opener, "c", () -> SELF, () -> {}, () -> {});
  }

  /** Runs an exchange of which the given number of frames arrive before the connection breaks. */
  private static void synchronize(RouteStore one, RouteStore other, int frames) {
    RouteSyncSession opener = session(one, true);
    RouteSyncSession responder = session(other, false);
    byte[] frame = opener.nextFrame(null, 0);
    for (int i = 0; frame != null && i < frames; i++) {
      frame = (i % 2 == 0 ? responder : opener).nextFrame(frame, 0);
    }
  }

  @Property(tries = 500)
  void storesConvergeInAnyOrderAndThroughExchanges(
      @ForAll @Size(max = 40) List<Long> mine,
      @ForAll @Size(max = 40) List<Long> theirs,
      @ForAll long seed) {
    List<RouteEntry> myEntries = mine.stream().map(RouteStoreTest::entryOf).toList();
    List<RouteEntry> theirEntries = theirs.stream().map(RouteStoreTest::entryOf).toList();
    List<RouteEntry> all = new ArrayList<>(myEntries);
    all.addAll(theirEntries);
    Collections.shuffle(all, new Random(seed));
    all.addAll(myEntries); // some entries are delivered twice
    RouteStore one = storeOf(myEntries);
    RouteStore other = storeOf(theirEntries);
    synchronize(
        one, other, Math.floorMod(seed, 3)); // an aborted exchange must not prevent convergence
    synchronize(one, other, ALL_FRAMES);
    synchronize(one, other, ALL_FRAMES);
    // an exchange in the other direction transfers what the first one could not detect
    synchronize(other, one, ALL_FRAMES);
    assertEquals(storeOf(all).stateDigest(), one.stateDigest());
    assertEquals(one.stateDigest(), other.stateDigest());
    assertEquals(one.table().digest(), other.table().digest());
    assertEquals(storeOf(all).table().services(), one.table().services());
  }

  @Property(tries = 500)
  void diffHasFewestChangesAndIsInvertible(
      @ForAll @Size(max = 60) List<Long> first, @ForAll @Size(max = 20) List<Long> later) {
    RouteStore store = storeOf(first.stream().map(RouteStoreTest::entryOf).toList());
    RouteTable before = store.table();
    later.forEach(choice -> store.merge(List.of(entryOf(choice + 16 * 3))));
    RouteTable after = store.table();
    Map<RouteEntry.Key, Instance> instancesBefore = instancesByKey(before);
    Map<RouteEntry.Key, Instance> instancesAfter = instancesByKey(after);
    List<RouteTable.RouteChange> changes = before.diff(after);
    assertEquals(differingKeys(instancesBefore, instancesAfter).size(), changes.size());
    assertEquals(instancesAfter, applied(changes, instancesBefore));
    for (RouteTable.RouteChange change : after.diff(before)) {
      assertTrue(changes.contains(change.inverse()));
    }
    assertEquals(instancesBefore.equals(instancesAfter), before.digest() == after.digest());
  }

  private static Set<RouteEntry.Key> differingKeys(
      Map<RouteEntry.Key, Instance> before, Map<RouteEntry.Key, Instance> after) {
    Set<RouteEntry.Key> keys = new HashSet<>(before.keySet());
    keys.addAll(after.keySet());
    keys.removeIf(key -> Objects.equals(before.get(key), after.get(key)));
    return keys;
  }

  private static Map<RouteEntry.Key, Instance> applied(
      List<RouteTable.RouteChange> changes, Map<RouteEntry.Key, Instance> before) {
    Map<RouteEntry.Key, Instance> result = new HashMap<>(before);
    for (RouteTable.RouteChange change : changes) {
      assertEquals(result.get(change.key()), change.before());
      if (change.after() == null) {
        result.remove(change.key());
      } else {
        result.put(change.key(), change.after());
      }
    }
    return result;
  }

  private static Map<RouteEntry.Key, Instance> instancesByKey(RouteTable table) {
    Map<RouteEntry.Key, Instance> byKey = new HashMap<>();
    table
        .services()
        .forEach(
            (service, instances) ->
                instances.forEach(
                    (name, instance) -> byKey.put(new RouteEntry.Key(service, name), instance)));
    return byKey;
  }

  /**
   * Equal content yields equal tables whichever author wrote it, and an old copy does not undo a
   * removal.
   */
  @Property(tries = 50)
  void entryWithLaterTimeOrGreaterAuthorWins(@ForAll long seed) {
    Random random = new Random(seed);
    RouteStore one = new RouteStore();
    RouteStore other = new RouteStore();
    Map<RouteEntry.Key, Instance> file = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      Instance instance = instance("10.0.0.1", 1 + random.nextInt(50), "");
      file.put(new RouteEntry.Key("s", "i" + i), instance);
    }
    one.publish("a", file);
    other.publish("b", file);
    assertEquals(one.table().digest(), other.table().digest());
    synchronize(one, other, ALL_FRAMES);
    RouteEntry.Key removed = new RouteEntry.Key("s", "i" + random.nextInt(40));
    Map<RouteEntry.Key, Instance> smallerFile = new HashMap<>(file);
    smallerFile.remove(removed);
    synchronize(other, one, ALL_FRAMES);
    assertTrue(
        one.publish(
            "b", smallerFile)); // at equal times, the entry of the greater author was retained
    synchronize(other, one, ALL_FRAMES);
    assertEquals(39, instancesByKey(other.table()).size());
    RouteEntry oldCopy = new RouteEntry(removed, file.get(removed), 1, "b");
    synchronize(storeOf(List.of(oldCopy)), other, ALL_FRAMES);
    assertEquals(39, instancesByKey(other.table()).size());
  }

  /** The size of an answer depends on the number of changes, not on the size of the table. */
  @Test
  void followerWithKnownStateReceivesOnlyChanges() {
    RouteStore author = new RouteStore();
    Map<RouteEntry.Key, Instance> file = new HashMap<>();
    for (int i = 0; i < 20_000; i++) {
      Instance instance = instance("10.0.0.1", 1 + i % 60_000, "");
      file.put(new RouteEntry.Key("s" + i % 50, "i" + i), instance);
    }
    author.publish("a", file);
    RouteStore follower = new RouteStore();
    synchronize(follower, author, ALL_FRAMES);
    assertEquals(author.stateDigest(), follower.stateDigest());
    Instance draining = new Instance("10.0.0.2", 7, "", 1, Instance.State.DRAIN, 0);
    for (int i = 0; i < 10; i++) {
      file.put(new RouteEntry.Key("s" + i, "i" + i), draining);
    }
    author.publish("a", file);
    RouteSyncSession opener = session(follower, true);
    byte[] answer = session(author, false).nextFrame(opener.nextFrame(null, 0), 0);
    assertTrue(answer.length < 1_500, "the answer has " + answer.length + " bytes");
    opener.nextFrame(answer, 0);
    assertEquals(author.stateDigest(), follower.stateDigest());
  }
}
