package rosecleat.store;

/**
 * Says which file was written in a newer format than this program supports.
 *
 * @param file the name of the file
 * @param detail a clause for people that continues the file's name
 */
public record UnsupportedFormat(String file, String detail) {
  static UnsupportedFormat fileVersion(String file, int version) {
    return new UnsupportedFormat(
        file,
        "is of format " + version + ", and this program reads up to " + FileHeader.FORMAT_VERSION);
  }

  static UnsupportedFormat recordVersion(String file, long offset, StoredRecord record) {
    return new UnsupportedFormat(
        file,
        "at byte "
            + offset
            + " has an entry of type "
            + record.type()
            + ", version "
            + record.version()
            + ", which this program does not know");
  }

  /** Returns a sentence for people. */
  public String message() {
    return file + " " + detail;
  }
}
