package rosecleat.store;

import java.util.Arrays;

/**
 * The unit that is written and read back: an opaque payload with a type and a format version.
 *
 * @param type the application's record type, 0 to {@link #MAX_APPLICATION_TYPE}; larger ones belong
 *     to the store
 * @param version the format version of the payload, 1 to 255
 * @param payload the bytes, {@link #MAX_PAYLOAD_BYTES} at most; not copied
 */
public record StoredRecord(int type, int version, byte[] payload) {
  /** The largest type that an application may use. */
  public static final int MAX_APPLICATION_TYPE = 0xfeff;

  /** The largest payload (bytes). */
  public static final int MAX_PAYLOAD_BYTES = 4 << 20;

  private static final int MAX_TYPE = 0xffff;
  private static final int MAX_VERSION = 255;

  /** Creates a record; throws {@link IllegalArgumentException} where a bound is exceeded. */
  public StoredRecord {
    if (type < 0
        || type > MAX_TYPE
        || version < 1
        || version > MAX_VERSION
        || payload.length > MAX_PAYLOAD_BYTES) {
      throw new IllegalArgumentException(
          "type " + type + ", version " + version + ", " + payload.length + " bytes");
    }
  }

  /** Whether the application wrote this record, not the store itself. */
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
