package rosecleat.store;

import java.io.IOException;

/** Utility methods for {@link Directory.Output}. */
final class Outputs {
  private Outputs() {}

  /**
   * Closes a file that is not written again and whose durable length is known, and ignores errors.
   */
  static void closeQuietly(Directory.Output output) {
    try {
      output.close();
    } catch (IOException e) {
      return; // no data beyond the durable length is used
    }
  }
}
