package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import rosecleat.fakes.Await;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/** What becomes of errors, such as lack of memory, on the threads of a process. */
class FatalErrorHandlerTest {
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final AtomicInteger exits = new AtomicInteger();
  private final FatalErrorHandler handler =
      new FatalErrorHandler(
          new PrintStream(written, true, StandardCharsets.UTF_8), exits::incrementAndGet);

  /** Guards against an error on the event loop that leaves a process which answers nothing. */
  @Test
  void errorOnTheEventLoopEndsTheProcess() throws Exception {
    try (EventLoop loop = new EventLoop(Log.silent())) {
      loop.execute(
          () -> {
            Thread.currentThread().setUncaughtExceptionHandler(handler);
            throw new OutOfMemoryError("made up");
          });
      Await.until(() -> exits.get() == 1);
      assertTrue(written.toString(StandardCharsets.UTF_8).contains("made up"));
    }
  }

  @Test
  void exceptionIsPrintedAndDoesNotEndTheProcess() {
    handler.uncaughtException(Thread.currentThread(), new IllegalStateException("made up"));
    assertEquals(0, exits.get());
    assertTrue(written.toString(StandardCharsets.UTF_8).contains("made up"));
  }
}
