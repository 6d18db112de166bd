package rosecleat.config;

/** Conversion factors between the units in configuration files and those in the program. */
final class Units {
  static final long MICROSECONDS_PER_MS = 1_000;
  static final long MICROSECONDS_PER_SECOND = 1_000_000;

  /** Left shift that converts mebibytes to bytes. */
  static final int BYTES_PER_MIB_SHIFT = 20;

  private Units() {}
}
