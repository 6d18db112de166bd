package rosecleat.takeover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.core.Claims;
import rosecleat.core.Counters;
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
    assertInstanceOf(Claims.Mine.class, a.claim("k", BODY, 10));
    Claims.Others others = assertInstanceOf(Claims.Others.class, b.claim("k", BODY, 20));
    assertArrayEquals(BODY, others.digest());
    assertEquals(10, others.untilUs());
    assertInstanceOf(Claims.Mine.class, a.look("k"));
    assertNull(b.outcome("k"));
    a.ended("k", new byte[0]); // an empty result is one
    assertArrayEquals(new byte[0], b.outcome("k").result());
    a.claim("k2", BODY, 10);
    a.ended("k2", null);
    assertEquals(new Claims.Outcome(true, null), b.outcome("k2"));
    a.claim("k3", BODY, 10);
    a.neverRan("k3");
    assertEquals(new Claims.Outcome(false, null), b.outcome("k3"));
    assertInstanceOf(Claims.Mine.class, b.claim("k3", BODY, 10));
  }

  /**
   * Guards what a killed process may have run: nobody runs it again, and nobody waits for it for
   * ever.
   */
  @Test
  void aDeadOwnersRunStaysItsOwnAndHasNoResult() throws IOException {
    a.claim("k", BODY, 10);
    first.close();
    assertEquals(new Claims.Outcome(true, null), b.outcome("k"));
    assertInstanceOf(Claims.Others.class, b.claim("k", BODY, 20));
  }

  /**
   * Guards the node's memory, which files take part of: what has lapsed goes, a dead owner's too.
   */
  @Test
  void lapsedClaimsGoAndAnewOnesStay() throws IOException {
    a.keepLate(5);
    b.keepLate(5);
    a.claim("old", BODY, 10);
    a.ended("old", new byte[] {7});
    a.claim("anew", BODY, 10);
    a.claim("anew", BODY, 30); // the next window of one key
    a.claim("dead", BODY, 10);
    a.expire(16, true);
    assertInstanceOf(Claims.Free.class, b.look("old"));
    assertEquals(30, assertInstanceOf(Claims.Others.class, b.look("anew")).untilUs());
    first.close();
    b.expire(34, false); // an older process may live: not this one's to delete
    assertInstanceOf(Claims.Others.class, b.look("anew"));
    b.expire(36, true);
    assertInstanceOf(Claims.Free.class, b.look("anew"));
    try (Stream<Path> files = Files.list(folder.resolve("keys"))) {
      assertEquals(0, files.count());
    }
  }

  @Test
  void claimsAreBoundedAndQuick() {
    long start = System.nanoTime();
    for (int i = 0; i < 8_192; i++) {
      assertInstanceOf(Claims.Mine.class, a.claim("k" + i, BODY, i));
      if (i % 4 == 0) {
        a.ended("k" + i, BODY);
      }
    }
    assertInstanceOf(Claims.Free.class, a.claim("more", BODY, 10));
    assertArrayEquals(BODY, b.outcome("k4").result());
    assertNull(b.outcome("k5"), "its run goes on");
    assertTrue(System.nanoTime() - start < 8_192 * 1_000_000L, "a claim takes over a millisecond");
    a.expire(10_000_000, true);
    assertInstanceOf(Claims.Mine.class, a.claim("more", BODY, 10));
  }

  @Test
  void aMarkTellsWhoLives() throws IOException {
    assertTrue(first.lives(second.number()) && second.lives(first.number()));
    assertTrue(!first.serves(second.number()));
    second.serve();
    assertTrue(first.serves(second.number()));
    second.close();
    assertTrue(!first.lives(second.number()) && first.lives(first.number()));
    assertTrue(!first.lives(99));
  }
}
