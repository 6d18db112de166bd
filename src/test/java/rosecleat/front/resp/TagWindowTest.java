package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The tags that a connection has used, and the memory that they occupy. */
class TagWindowTest {
  /** Guards a client with ordinary tags against paying for those of others: it holds nothing. */
  @Test
  void tagsInAboutAscendingOrderHoldNoCountedMemory() {
    TagWindow window = new TagWindow();
    for (long tag = 1; tag < 1_000; tag += 4) {
      for (long each : new long[] {tag + 2, tag, tag + 3, tag + 1}) {
        assertTrue(window.markUsed(each));
        assertEquals(0, window.heldBytes());
      }
    }
  }

  @Test
  void scatteredTagsHoldBoundedMemoryUntilTheGapsAreFilled() {
    TagWindow window = new TagWindow();
    for (long tag = 2; tag <= 200; tag += 2) {
      assertTrue(window.markUsed(tag));
    }
    assertTrue(window.heldBytes() > 0 && window.heldBytes() <= 4 << 10);
    for (long tag = 1; tag <= 200; tag += 2) {
      assertTrue(window.markUsed(tag));
    }
    assertEquals(0, window.heldBytes());
    assertFalse(window.markUsed(200));
  }

  /** No tag is accepted twice, in whatever order tags come. */
  @Test
  void noTagIsAcceptedTwice() {
    TagWindow window = new TagWindow();
    Set<Long> accepted = new HashSet<>();
    Random random = new Random(46);
    for (int i = 0; i < 20_000; i++) {
      long tag = 1L + random.nextInt(3_000);
      if (window.markUsed(tag)) {
        assertTrue(accepted.add(tag), "tag " + tag);
      }
    }
    assertTrue(window.heldBytes() <= 4 << 10);
  }
}
