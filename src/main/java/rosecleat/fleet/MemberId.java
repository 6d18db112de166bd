package rosecleat.fleet;

import java.nio.charset.StandardCharsets;

/** One start of one process: a later start under the same name has a greater epoch. */
public record MemberId(String name, long epoch) {
  static final int LONGEST_NAME = 64;

  /** 64 bits that stand for it, equal in every process. */
  long hash() {
    return Hash.of(name.getBytes(StandardCharsets.UTF_8), epoch);
  }

  @Override
  public String toString() {
    return name + "/" + epoch;
  }
}
