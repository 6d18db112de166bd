package rosecleat.core;

/**
 * The ids of the latest runs, in a table of fixed size. Each id belongs to one bucket; when a
 * bucket is full, its oldest id is forgotten. An entry never moves, so that a copy of the table
 * which is updated entry by entry is always consistent. Not thread-safe.
 */
public final class RunIdTable {
  /** The number of entries. */
  public static final int ENTRIES = 1 << 14;

  /** The number of entries of a bucket. */
  public static final int BUCKET_ENTRIES = 8;

  /** Returned in place of the position of an entry that does not exist. */
  public static final int NONE = -1;

  private static final int BUCKET_BITS =
      Integer.numberOfTrailingZeros(ENTRIES) - Integer.numberOfTrailingZeros(BUCKET_ENTRIES);

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Spreads the hash over its upper bits (Fibonacci hashing). */
  private static final long SPREAD = 0x9e3779b97f4a7c15L;

  private static final long EMPTY = 0;

  private final long[] entries = new long[ENTRIES];

  /** For each bucket, the entry that the next id replaces. */
  private final byte[] next = new byte[ENTRIES / BUCKET_ENTRIES];

  /** Returns the value that stands for an id; never that of an empty entry. */
  public static long valueOf(String id) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * FNV_PRIME;
    }
    long spread = hash * SPREAD;
    return spread == EMPTY ? 1 : spread;
  }

  /** Returns the position of the first entry of a value's bucket. */
  public static int bucketStart(long value) {
    return (int) (value >>> (Long.SIZE - BUCKET_BITS)) * BUCKET_ENTRIES;
  }

  /** Adds a value; returns the position of its entry. */
  public int add(long value) {
    int present = find(value);
    if (present != NONE) {
      return present;
    }
    int start = bucketStart(value);
    int bucket = start / BUCKET_ENTRIES;
    int position = start + next[bucket];
    next[bucket] = (byte) ((next[bucket] + 1) % BUCKET_ENTRIES);
    entries[position] = value;
    return position;
  }

  /** Removes a value; returns the position of its former entry, or {@link #NONE}. */
  public int remove(long value) {
    int position = find(value);
    if (position != NONE) {
      entries[position] = EMPTY;
    }
    return position;
  }

  /** Returns whether a value is in the table. */
  public boolean contains(long value) {
    return find(value) != NONE;
  }

  private int find(long value) {
    int start = bucketStart(value);
    for (int position = start; position < start + BUCKET_ENTRIES; position++) {
      if (entries[position] == value) {
        return position;
      }
    }
    return NONE;
  }
}
