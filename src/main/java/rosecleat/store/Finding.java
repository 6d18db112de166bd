package rosecleat.store;

/**
 * Something that a recovery met.
 *
 * @param damage whether something that had been written whole is lost; else an unfinished write was
 *     cut off
 * @param file the file's name
 * @param at the place in the file (bytes)
 * @param bytes how many bytes do not count
 * @param what a sentence for people
 */
public record Finding(boolean damage, String file, long at, long bytes, String what) {
  @Override
  public String toString() {
    return file + " at byte " + at + ": " + what;
  }
}
