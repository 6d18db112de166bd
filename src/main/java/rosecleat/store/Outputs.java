package rosecleat.store;

import java.io.IOException;

/** Helpers for files that are written. */
final class Outputs {
  private Outputs() {}

  /** Closes a file that is not written again, and of which the durable part is known. */
  static void closeQuietly(Directory.Output output) {
    try {
      output.close();
    } catch (IOException e) {
      return; // nothing depends on the rest of the file
    }
  }
}
