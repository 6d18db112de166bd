package rosecleat.store;

import java.util.Arrays;

/**
 * The unit of storage: an opaque payload with a record type and a format version.
 *
 * @param type the application's record type, 0 to {@link #MAX_APPLICATION_TYPE}; larger types are
 *     reserved for the store
 * @param version the format version of the payload, 1 to 255
 * @param payload the content, at most {@link #MAX_PAYLOAD_BYTES} long; the array is not copied
 */
public record StoredRecord(int type, int version, byte[] payload) {
  /** The largest record type that an application may use. */
  public static final int MAX_APPLICATION_TYPE = 0xfeff;

  /** The maximum length of a payload. */
  public static final int MAX_PAYLOAD_BYTES = 4 << 20;

  private static final int MAX_TYPE = 0xffff;
  private static final int MAX_VERSION = 255;

  /** Creates a record; throws {@link IllegalArgumentException} if a value is out of range. */
  public StoredRecord {
    if (type < 0
        || type > MAX_TYPE
        || version < 1
        || version > MAX_VERSION
        || payload.length > MAX_PAYLOAD_BYTES) {
      throw new IllegalArgumentException(
          "record out of range: type "
              + type
              + " (0 to "
              + MAX_TYPE
              + "), version "
              + version
              + " (1 to "
              + MAX_VERSION
              + "), "
              + payload.length
              + " bytes (at most "
              + MAX_PAYLOAD_BYTES
              + ")");
    }
  }

  /** Returns whether this record is an application's rather than one of the store's own. */
  boolean isApplicationRecord() {
    return type <= MAX_APPLICATION_TYPE;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredRecord that
        && type == that.type
        && version == that.version
        && Arrays.equals(payload, that.payload);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * type + version) + Arrays.hashCode(payload);
  }
}
