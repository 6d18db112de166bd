package rosecleat.fleet.transport;

/** Closes resources that are no longer needed. */
final class Closeables {
  private Closeables() {}

  /** Closes a resource (which may be null) and ignores a failure to do so. */
  static void closeQuietly(AutoCloseable resource) {
    try {
      if (resource != null) {
        resource.close();
      }
    } catch (Exception e) {
      return; // the resource is no longer used, so a failure has no consequence
    }
  }
}
