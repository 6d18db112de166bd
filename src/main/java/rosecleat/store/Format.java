package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The files by byte: a header, then entries. All numbers are big-endian. The sums are CRC32C (RFC
 * 3720, appendix B.4), and take in the file's number and the entry's place, so that a block that
 * belongs elsewhere is a bad one.
 */
final class Format {
  /** The format of the files that is written here. */
  static final int VERSION = 1;

  static final int HEADER = 40;
  static final int HEAD = 18;

  /** The store's own types. */
  static final int CLOSED = 0xfffd;

  static final int MANIFEST = 0xfffe;
  static final int SNAPSHOT_END = 0xffff;

  private static final byte[] NAME = {'r', 'c', 's', 't', 'o', 'r', 'e'};
  private static final byte MARK = (byte) 0xc5;
  private static final long MOST_U48 = (1L << 48) - 1;

  private Format() {}

  /**
   * What the header of a file says: its kind, its number, and of a log how much of the one before
   * it counts.
   */
  record Header(char kind, int version, long number, long before, long beforeBytes) {
    ByteBuffer bytes() {
      ByteBuffer to =
          ByteBuffer.allocate(HEADER)
              .put(NAME)
              .put((byte) kind)
              .putInt(version)
              .putLong(number)
              .putLong(before)
              .putLong(beforeBytes);
      CRC32C sum = new CRC32C();
      sum.update(to.array(), 0, to.position());
      return to.putInt((int) sum.getValue()).flip();
    }
  }

  /** The header at the start of some bytes; null where there is none that can be read. */
  static Header header(ByteBuffer from) {
    if (from.remaining() < HEADER) {
      return null;
    }
    int at = from.position();
    CRC32C sum = new CRC32C();
    sum.update(from.duplicate().limit(at + HEADER - 4));
    if (from.getInt(at + HEADER - 4) != (int) sum.getValue()) {
      return null;
    }
    for (int i = 0; i < NAME.length; i++) {
      if (from.get(at + i) != NAME[i]) {
        return null;
      }
    }
    return new Header(
        (char) from.get(at + NAME.length),
        from.getInt(at + 8),
        from.getLong(at + 12),
        from.getLong(at + 20),
        from.getLong(at + 28));
  }

  /** How many bytes an entry takes. */
  static int length(Entry entry) {
    return HEAD + entry.payload().length;
  }

  /**
   * Puts an entry that will stand at a place of a file, of which so many bytes are known to be on
   * disk.
   */
  static void put(ByteBuffer to, Entry entry, long file, long at, long synced) {
    int start = to.position();
    to.put(MARK)
        .put((byte) entry.version())
        .putShort((short) entry.type())
        .putInt(entry.payload().length)
        .putShort((short) (synced >>> 32))
        .putInt((int) synced);
    int sum =
        sum(to.duplicate().flip().position(start), file, at, ByteBuffer.wrap(entry.payload()));
    to.putInt(sum).put(entry.payload());
  }

  private static int sum(ByteBuffer head, long file, long at, ByteBuffer payload) {
    CRC32C sum = new CRC32C();
    sum.update(ByteBuffer.allocate(16).putLong(file).putLong(at).flip());
    sum.update(head);
    sum.update(payload);
    return (int) sum.getValue();
  }

  /**
   * An entry as it was read, how many bytes were known to be on disk when it was written, and where
   * the next begins.
   */
  record Read(Entry entry, long synced, long next) {}

  /** The entry at a place of a file; null where there is no whole one. */
  static Read read(Bytes from, long file, long at) throws IOException {
    ByteBuffer head = from.at(at, HEAD);
    if (head == null) {
      return null;
    }
    int start = head.position();
    int version = head.get(start + 1) & 0xff;
    int length = head.getInt(start + 4);
    if (head.get(start) != MARK
        || version == 0
        || length < 0
        || length > Entry.MOST_BYTES
        || at + HEAD + length > from.size()) {
      return null;
    }
    ByteBuffer whole = from.at(at, HEAD + length);
    start = whole.position();
    ByteBuffer payload = whole.duplicate().position(start + HEAD);
    if (whole.getInt(start + 14)
        != sum(whole.duplicate().limit(start + 14), file, at, payload.duplicate())) {
      return null;
    }
    byte[] bytes = new byte[length];
    payload.get(bytes);
    long synced = whole.getLong(start + 8) >>> 16 & MOST_U48;
    return new Read(
        new Entry(whole.getShort(start + 2) & 0xffff, version, bytes), synced, at + HEAD + length);
  }
}
