package rosecleat.takeover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.core.Counters;
import rosecleat.core.IdempotencyClaims;
import rosecleat.log.Log;

/** Claims of two processes in one folder. */
class SymlinkClaimsTest {
  private static final byte[] BODY = {1, 2, 3};

  private final Log log = new Log(System.err);
  private ProcessMarkers first;
  private ProcessMarkers second;
  private SymlinkClaims a;
  private SymlinkClaims b;

  @TempDir Path folder;

  @BeforeEach
  void start() throws IOException {
    first = new ProcessMarkers(folder);
    second = new ProcessMarkers(folder);
    a = new SymlinkClaims(folder.resolve("keys"), first, new Counters(), log);
    b = new SymlinkClaims(folder.resolve("keys"), second, new Counters(), log);
  }

  @AfterEach
  void stop() throws IOException {
    first.close();
    second.close();
    log.close();
  }

  @Test
  void oneClaimsAndTheOtherGetsTheResultByteForByte() {
    assertInstanceOf(IdempotencyClaims.Owned.class, a.claim("k", BODY, 10));
    IdempotencyClaims.OwnedByPeer others =
        assertInstanceOf(IdempotencyClaims.OwnedByPeer.class, b.claim("k", BODY, 20));
    assertArrayEquals(BODY, others.digest());
    assertEquals(10, others.untilUs());
    assertInstanceOf(IdempotencyClaims.Owned.class, a.status("k"));
    assertEquals(new IdempotencyClaims.Pending(), b.peerRun("k"));
    a.completed("k", new byte[0]); // an empty result is one
    assertArrayEquals(
        new byte[0], assertInstanceOf(IdempotencyClaims.Completed.class, b.peerRun("k")).result());
    a.claim("k2", BODY, 10);
    a.endedWithoutResult("k2");
    assertEquals(new IdempotencyClaims.NoResult(), b.peerRun("k2"));
    a.claim("k3", BODY, 10);
    a.neverRan("k3");
    assertEquals(new IdempotencyClaims.NeverRan(), b.peerRun("k3"));
    assertInstanceOf(IdempotencyClaims.Owned.class, b.claim("k3", BODY, 10));
  }

  /**
   * Guards what a killed process may have run: nobody runs it again, and nobody waits for it for
   * ever.
   */
  @Test
  void aDeadOwnersRunStaysItsOwnAndHasNoResult() throws IOException {
    a.claim("k", BODY, 10);
    first.close();
    assertEquals(new IdempotencyClaims.NoResult(), b.peerRun("k"));
    assertInstanceOf(IdempotencyClaims.OwnedByPeer.class, b.claim("k", BODY, 20));
  }

  /**
   * Guards the node's memory, which files take part of: what has lapsed goes, a dead owner's too.
   */
  @Test
  void lapsedClaimsGoAndAnewOnesStay() throws IOException {
    a.setRetentionUs(5);
    b.setRetentionUs(5);
    a.claim("old", BODY, 10);
    a.completed("old", new byte[] {7});
    a.claim("anew", BODY, 10);
    a.claim("anew", BODY, 30); // the next window of one key
    a.claim("dead", BODY, 10);
    a.expire(16, true);
    assertInstanceOf(IdempotencyClaims.Unclaimed.class, b.status("old"));
    assertEquals(
        30, assertInstanceOf(IdempotencyClaims.OwnedByPeer.class, b.status("anew")).untilUs());
    first.close();
    b.expire(34, false); // an older process may live: not this one's to delete
    assertInstanceOf(IdempotencyClaims.OwnedByPeer.class, b.status("anew"));
    b.expire(36, true);
    assertInstanceOf(IdempotencyClaims.Unclaimed.class, b.status("anew"));
    try (Stream<Path> files = Files.list(folder.resolve("keys"))) {
      assertEquals(0, files.count());
    }
  }

  @Test
  void claimsAreBoundedAndQuick() {
    long start = System.nanoTime();
    for (int i = 0; i < 8_192; i++) {
      assertInstanceOf(IdempotencyClaims.Owned.class, a.claim("k" + i, BODY, i));
      if (i % 4 == 0) {
        a.completed("k" + i, BODY);
      }
    }
    assertInstanceOf(IdempotencyClaims.Unclaimed.class, a.claim("more", BODY, 10));
    assertArrayEquals(
        BODY, assertInstanceOf(IdempotencyClaims.Completed.class, b.peerRun("k4")).result());
    assertEquals(new IdempotencyClaims.Pending(), b.peerRun("k5"), "its run goes on");
    assertTrue(System.nanoTime() - start < 8_192 * 1_000_000L, "a claim takes over a millisecond");
    a.expire(10_000_000, true);
    assertInstanceOf(IdempotencyClaims.Owned.class, a.claim("more", BODY, 10));
  }

  @Test
  void aMarkTellsWhoLives() throws IOException {
    assertTrue(first.isAlive(second.ownNumber()) && second.isAlive(first.ownNumber()));
    assertTrue(!first.isServing(second.ownNumber()));
    second.markServing();
    assertTrue(first.isServing(second.ownNumber()));
    second.close();
    assertTrue(!first.isAlive(second.ownNumber()) && first.isAlive(first.ownNumber()));
    assertTrue(!first.isAlive(99));
  }
}
