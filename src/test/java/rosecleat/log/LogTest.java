package rosecleat.log;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The log has a bounded queue, never blocks its callers and writes one line per event. */
class LogTest {
  @Test
  void blockedStreamDropsLinesWithoutBlockingCallers() throws Exception {
    CountDownLatch unblocked = new CountDownLatch(1);
    OutputStream stream =
        new OutputStream() {
          @Override
          public void write(int b) {
            try {
              unblocked.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    Log log = new Log(new PrintStream(stream, true), 8);
    for (int i = 0; i < 100; i++) {
      log.info("line " + i);
    }
    assertTrue(log.dropped() >= 91, "dropped " + log.dropped()); // 1 is being written, 8 queued
    unblocked.countDown();
    log.close();
  }

  /** The warm-up of a starting node uses a silent log, which must not cost it a thread. */
  @Test
  void silentLogStartsNoThread() {
    List<Thread> before = threads();
    try (Log silent = Log.silent()) {
      silent.info("discarded");
      List<Thread> more = new ArrayList<>(threads());
      more.removeAll(before);
      assertEquals(List.of(), more);
      assertEquals(0, silent.dropped());
    }
  }

  private static List<Thread> threads() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().equals("log"))
        .toList();
  }

  @Test
  void lineBreaksInTextAreReplaced() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Log log = new Log(new PrintStream(out, true));
    log.warn("a\nb");
    log.close();
    assertEquals(1, out.toString(UTF_8).lines().count());
  }
}
