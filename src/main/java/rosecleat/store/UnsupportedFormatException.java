package rosecleat.store;

/** Thrown if a file was written in a newer format than this program supports. */
final class UnsupportedFormatException extends Exception {
  private static final long serialVersionUID = 1;

  private final transient UnsupportedFormat format;

  UnsupportedFormatException(UnsupportedFormat format) {
    super(format.message(), null, false, false);
    this.format = format;
  }

  UnsupportedFormat format() {
    return format;
  }
}
