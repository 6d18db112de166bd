package rosecleat.config;

/** Factors between the units of the files and those of the program. */
final class Units {
  static final long MICROSECONDS_PER_MS = 1_000;
  static final long MICROSECONDS_PER_SECOND = 1_000_000;

  /** The shift from mebibytes to bytes. */
  static final int BYTES_PER_MIB_SHIFT = 20;

  private Units() {}
}
