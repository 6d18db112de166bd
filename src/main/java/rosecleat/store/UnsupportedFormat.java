package rosecleat.store;

/**
 * Describes a file that was written in a newer format than this program supports.
 *
 * @param file the name of the file
 * @param detail a human-readable description that continues a sentence after the file's name
 */
public record UnsupportedFormat(String file, String detail) {
  static UnsupportedFormat fileVersion(String file, int version) {
    return new UnsupportedFormat(
        file,
        "has format version "
            + version
            + ", but this program supports versions up to "
            + FileHeader.FORMAT_VERSION);
  }

  static UnsupportedFormat recordVersion(String file, long offset, StoredRecord record) {
    return new UnsupportedFormat(
        file,
        "at byte "
            + offset
            + " has a record of type "
            + record.type()
            + ", version "
            + record.version()
            + ", which this program does not support");
  }

  /** Returns a human-readable message that names the file. */
  public String message() {
    return file + " " + detail;
  }
}
