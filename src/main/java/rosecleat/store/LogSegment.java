package rosecleat.store;

/**
 * A file of the write-ahead log.
 *
 * @param number the number of the segment; it is replayed after snapshots with smaller numbers
 * @param validBytes number of valid bytes from the start of the file, including its header
 */
record LogSegment(long number, long validBytes) {
  String fileName() {
    return FileNames.segment(number);
  }
}
