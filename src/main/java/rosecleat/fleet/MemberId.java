package rosecleat.fleet;

import java.nio.charset.StandardCharsets;

/**
 * The identity of one start of a process.
 *
 * @param name the process's name, unique in its cluster
 * @param epoch a number that is greater for a later start under the same name
 */
public record MemberId(String name, long epoch) {
  static final int MAX_NAME_LENGTH = 64;

  /** Returns a 64-bit hash of this identity that is equal in every process. */
  long hash() {
    return Hash.of(name.getBytes(StandardCharsets.UTF_8), epoch);
  }

  @Override
  public String toString() {
    return name + "/" + epoch;
  }
}
