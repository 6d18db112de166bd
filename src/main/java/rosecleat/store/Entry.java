package rosecleat.store;

import java.util.Arrays;

/**
 * One record as its owner gives it and gets it back.
 *
 * @param type the owner's own, 0 to {@link #MOST_TYPE}
 * @param version the format version of the payload, 1 to 255
 * @param payload the bytes, {@link #MOST_BYTES} at most
 */
public record Entry(int type, int version, byte[] payload) {
  /** Types above this are the store's. */
  public static final int MOST_TYPE = 0xfeff;

  /** The largest payload (bytes). */
  public static final int MOST_BYTES = 4 << 20;

  /** A record; throws {@link IllegalArgumentException} for one that is out of these bounds. */
  public Entry {
    if (type < 0 || type > 0xffff || version < 1 || version > 255 || payload.length > MOST_BYTES) {
      throw new IllegalArgumentException(
          "type " + type + ", version " + version + ", " + payload.length + " bytes");
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Entry e
        && type == e.type
        && version == e.version
        && Arrays.equals(payload, e.payload);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * type + version) + Arrays.hashCode(payload);
  }
}
