package rosecleat.store;

/**
 * One file of the log.
 *
 * @param number its number; a segment is replayed behind the snapshots of smaller numbers
 * @param validBytes how many bytes from its start are valid, the header included
 */
record LogSegment(long number, long validBytes) {
  String fileName() {
    return FileNames.segment(number);
  }
}
