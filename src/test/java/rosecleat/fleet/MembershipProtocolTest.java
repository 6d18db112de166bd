package rosecleat.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosecleat.fleet.wire.RecordNews;

/** The view on virtual time: what breaks, and that it settles again. */
class MembershipProtocolTest {
  /**
   * Loss, splits, pauses, crashes, joins and restarts from a seed; then calm, and all must hold
   * exactly who is there.
   */
  @ParameterizedTest
  @CsvSource({"5, 60", "24, 24", "60, 6", "200, 1"})
  void viewsAgreeAgainAfterAnything(int size, int seeds) {
    for (long seed = 1; seed <= seeds; seed++) {
      SimulatedCluster world = new SimulatedCluster(size, seed).started(0, 1);
      world.run(world.random.nextInt(5));
      for (int step = 0; step < 12; step++) {
        SimulatedCluster.Peer one = world.peers.get(world.random.nextInt(size));
        switch (world.random.nextInt(7)) {
          case 0 -> world.loss = world.random.nextDouble() * 0.3;
          case 1 -> {
            int parts = 2 + world.random.nextInt(2);
            world.link = (a, b) -> a % parts == b % parts;
          }
          case 2 -> world.link = (a, b) -> a != one.index; // heard of nobody, hears all
          case 3 -> one.pause((1 + world.random.nextInt(12)) * SimulatedCluster.PERIOD);
          case 4 -> {
            if (world.living().size() > 2) {
              one.crash();
            }
          }
          case 5 -> {
            if (one.dead) {
              one.start(0, 1);
            }
          }
          default -> world.twice = 0.2;
        }
        world.run(world.random.nextInt(10));
      }
      world.loss = 0;
      world.link = (a, b) -> true;
      SimulatedCluster of = world;
      double took =
          world.until(
              120,
              () ->
                  of.agree()
                      && of.living().stream()
                          .allMatch(
                              p -> p.fleet.isSettled(of.nowUs) || 2 * of.living().size() <= size));
      assertTrue(took >= 0, "size " + size + " seed " + seed + ": " + world.counts);
      assertTrue(world.largest <= 1_400, "a datagram of " + world.largest + " bytes");
    }
  }

  /** How long settled may be wrong after a crash, and how soon it is right again. */
  @Test
  void settledIsWrongNoLongerThanDetectionTakes() {
    for (long seed = 1; seed <= 20; seed++) {
      SimulatedCluster world = new SimulatedCluster(20, seed).acquainted();
      world.run(10);
      assertTrue(world.living().stream().allMatch(p -> p.fleet.isSettled(world.nowUs)));
      MemberId id = world.peers.get(7).fleet.localId();
      world.peers.get(7).crash();
      double doubted =
          world.until(
              20, () -> world.living().stream().noneMatch(p -> p.fleet.isSettled(world.nowUs)));
      double known = doubted + world.until(20, () -> world.gone(id));
      double settled =
          world.until(
              20, () -> world.living().stream().allMatch(p -> p.fleet.isSettled(world.nowUs)));
      assertTrue(
          doubted >= 0 && doubted < 4 && known < 9 && settled >= 0 && settled < 4,
          seed + ": " + doubted + " " + known + " " + settled);
    }
  }

  /** A failure that a seed shows can be played again: nothing draws from outside the seed. */
  @Test
  void theSameSeedReplaysTheSameTrace() {
    long[] traces = new long[3];
    for (int play = 0; play < traces.length; play++) {
      SimulatedCluster world = new SimulatedCluster(12, play == 2 ? 6 : 5).started(0, 1);
      world.loss = 0.1;
      world.run(10);
      world.peers.get(3).crash();
      world.run(15);
      traces[play] = world.trace;
    }
    assertEquals(traces[0], traces[1]);
    assertNotEquals(traces[0], traces[2]);
  }

  @Test
  void aProcessWhoseClockWasSetBackIsNewAllTheSame() {
    SimulatedCluster world = new SimulatedCluster(4, 9).acquainted();
    long before = world.peers.get(3).fleet.localId().epoch();
    world.peers.get(3).crash();
    world.run(1);
    long now = world.nowUs;
    world.nowUs = 1; // its epoch is taken from this clock
    world.peers.get(3).start(0);
    world.nowUs = now;
    double took =
        world.until(30, () -> world.peers.get(3).fleet.localId().epoch() > before && world.agree());
    assertTrue(took >= 0, "it is not seen as a later start");
  }

  /**
   * Records: the newest holds whatever the order and however often they come; equal everywhere,
   * also after a split.
   */
  @Test
  void recordsConvergeAndAgeOutWithTheirOwners() {
    SimulatedCluster world = new SimulatedCluster(12, 4).acquainted();
    world.link = (a, b) -> a % 2 == b % 2;
    world.run(20);
    for (SimulatedCluster.Peer peer : world.peers) {
      for (int k = 0; k < 5; k++) {
        peer.fleet.publish(
            "costs", "k" + k % 3, new byte[] {(byte) k, (byte) peer.index}, 20_000, world.nowUs);
      }
      peer.run();
    }
    byte[] large = new byte[Tuning.MAX_RECORD_BYTES]; // no rumour, but an exchange brings it
    world.peers.get(1).fleet.publish("costs", "large", large, 20_000, world.nowUs);
    assertFalse(
        world
            .peers
            .get(1)
            .fleet
            .publish(
                "costs", "larger", new byte[Tuning.MAX_RECORD_BYTES + 1], 20_000, world.nowUs));
    world.run(5);
    world.link = (a, b) -> true;
    double took =
        world.until(
            60,
            () ->
                world.peers.stream()
                    .allMatch(p -> p.fleet.recordsOfKind("costs").size() == 12 * 3 + 1));
    assertTrue(took >= 0);
    world.peers.get(11).crash();
    took =
        world.until(
            80,
            () ->
                world.living().stream()
                    .allMatch(p -> p.fleet.recordsOfKind("costs").size() == 11 * 3 + 1));
    assertTrue(took > 18, "aged out after " + took);
  }

  @Property(tries = 200)
  void anyOrderOfRecordsEndsTheSame(@ForAll @Size(min = 1, max = 12) List<Long> choices) {
    List<FleetRecord> all = new ArrayList<>();
    for (long c : choices) {
      all.add(
          new FleetRecord(
              "o" + Math.floorMod(c, 2),
              1 + Math.floorMod(c / 2, 2),
              "k",
              "",
              Math.floorMod(c / 4, 4),
              1_000,
              new byte[] {(byte) Math.floorMod(c / 4, 4)}));
    }
    RecordStore one = new RecordStore();
    all.forEach(r -> one.store(r, 0, 1));
    Random random = new Random(choices.hashCode());
    RecordStore other = new RecordStore();
    for (int round = 0; round < 3; round++) {
      java.util.Collections.shuffle(all, random);
      all.forEach(r -> other.store(r, 0, 1));
    }
    assertEquals(one.syncDigest(), other.syncDigest());
    assertEquals(one.all().size(), other.all().size());
  }

  /** Whatever comes, nothing is thrown, and nobody is held for dead on its ground. */
  @Test
  void garbageAndLiesCostACount() {
    SimulatedCluster world = new SimulatedCluster(6, 2).acquainted();
    SimulatedCluster.Peer victim = world.peers.get(0);
    Random random = new Random(3);
    byte[] good = null;
    victim.run();
    for (int i = 0; i < 5_000; i++) {
      byte[] bytes = new byte[random.nextInt(300)];
      random.nextBytes(bytes);
      victim.fleet.onDatagram(bytes, world.nowUs);
    }
    victim.obey();
    victim.fleet.publish("x", "", new byte[10], 1_000, world.nowUs);
    victim.fleet.onTimer(world.nowUs + SimulatedCluster.PERIOD);
    for (Effect effect : victim.fleet.drainEffects()) {
      good = effect instanceof Effect.SendDatagram send ? send.payload() : good;
    }
    world.run(1);
    SimulatedCluster.Peer other = world.peers.get(1);
    for (int i = 0; i < 20_000 && good != null; i++) {
      byte[] spoilt = good.clone();
      spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 << random.nextInt(8));
      other.fleet.onDatagram(
          random.nextBoolean()
              ? spoilt
              : java.util.Arrays.copyOf(spoilt, random.nextInt(spoilt.length)),
          world.nowUs);
    }
    rosecleat.fleet.wire.Datagram.Builder lie =
        rosecleat.fleet.wire.Datagram.newBuilder()
            .setCluster("test")
            .setFrom(
                WireCodec.encode(
                    new MemberUpdate(
                        new MemberId("liar", 5),
                        new Endpoint("10.9.9.9", 1),
                        "",
                        MemberState.ALIVE,
                        1,
                        0)));
    for (SimulatedCluster.Peer peer : world.peers) {
      lie.addMembers(
          WireCodec.encode(
              new MemberUpdate(peer.fleet.localId(), peer.at(), "z", MemberState.DEAD, 1, 0)));
      lie.addRecords(
          RecordNews.newBuilder()
              .setOwner(peer.fleet.localId().name())
              .setEpoch(peer.fleet.localId().epoch())
              .setKind("x")
              .setVersion(1L << 40)
              .setTtlMs(1_000));
    }
    other.fleet.onDatagram(Checksum.attach(lie.build().toByteArray(), "test"), world.nowUs);
    other.run();
    double took =
        world.until(
            60,
            () ->
                world.agree() && world.living().stream().allMatch(p -> p.fleet.memberCount() < 40));
    assertTrue(took >= 0, "they do not agree any more: " + world.counts);
    other.fleet.onDatagram(
        Checksum.attach(lie.setCluster("other").build().toByteArray(), "test"), world.nowUs);
    other.run();
    assertTrue(
        world.counts.get("garbage") > 1_000 && world.counts.get("foreign") >= 1,
        world.counts.toString());
  }

  @Test
  void members2048AreHeldAndThoseOverTheBoundRefused() {
    MembershipProtocol fleet =
        new MembershipProtocol(
            new LocalNode("test", new MemberId("a", 1), new Endpoint("10.0.0.1", 1), "", List.of()),
            Tuning.of(SimulatedCluster.PERIOD),
            new java.util.SplittableRandom(1),
            1);
    for (int i = 0; i < 5_000; i++) {
      fleet.onDatagram(
          Checksum.attach(
              rosecleat.fleet.wire.Datagram.newBuilder()
                  .setCluster("test")
                  .setFrom(
                      WireCodec.encode(
                          new MemberUpdate(
                              new MemberId("m" + i, 1),
                              new Endpoint("10.1." + i / 250 + "." + i % 250, 7),
                              "",
                              MemberState.ALIVE,
                              1,
                              0)))
                  .build()
                  .toByteArray(),
              "test"),
          2);
      if (i % 100 == 0) {
        fleet.drainEffects();
      }
    }
    assertEquals(Tuning.MAX_MEMBERS, fleet.memberCount());
  }
}
