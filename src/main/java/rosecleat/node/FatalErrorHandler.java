package rosecleat.node;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Ends the process when a thread fails with an {@link Error}, such as lack of memory. The state
 * that the thread worked on may be inconsistent, and a node that keeps its socket but answers
 * nothing harms its clients more than one that is started again.
 */
final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
  /** The exit code, which is also that of the JVM option {@code ExitOnOutOfMemoryError}. */
  static final int EXIT_CODE = 3;

  /** Encoded in advance, since there may be no memory for any object when it is needed. */
  private static final byte[] MESSAGE =
      "process ends: a thread failed with an error\n".getBytes(StandardCharsets.US_ASCII);

  private final PrintStream out;
  private final Runnable exit;

  /**
   * Creates a handler.
   *
   * @param out receives a line and the error
   * @param exit ends the process at once
   */
  FatalErrorHandler(PrintStream out, Runnable exit) {
    this.out = out;
    this.exit = exit;
  }

  /** Makes a handler the one for all threads of this process. */
  static void install() {
    Thread.setDefaultUncaughtExceptionHandler(
        new FatalErrorHandler(System.err, () -> Runtime.getRuntime().halt(EXIT_CODE)));
  }

  @Override
  public void uncaughtException(Thread thread, Throwable failure) {
    if (!(failure instanceof Error)) {
      failure.printStackTrace(out);
      return;
    }
    try {
      out.write(MESSAGE, 0, MESSAGE.length);
      out.flush();
      failure.printStackTrace(out);
    } finally {
      exit.run();
    }
  }
}
