package rosecleat.fleet.transport;

/** Closes what is of no use any more. */
final class Closeables {
  private Closeables() {}

  /** Closes a resource (which may be null) and ignores a failure to do so. */
  static void closeQuietly(AutoCloseable resource) {
    try {
      if (resource != null) {
        resource.close();
      }
    } catch (Exception e) {
      return; // nothing depends on it any more
    }
  }
}
