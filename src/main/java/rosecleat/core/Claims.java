package rosecleat.core;

/**
 * Keyed requests as other processes of this node know them: a key is run by whoever claims it
 * first, and the others get the result. Names of keys are any text; all times are microseconds of
 * the Unix clock.
 */
public interface Claims {
  /** How a key stands. */
  sealed interface Standing {}

  /** Nobody has claimed it. */
  record Free() implements Standing {}

  /** This process has. */
  record Mine() implements Standing {}

  /** Another process has, for a body with this digest, until a time. */
  record Others(byte[] digest, long untilUs) implements Standing {}

  /** What became of another's run; the result is null where there will be none. */
  record Outcome(boolean ran, byte[] result) {}

  /** Who has claimed a key. */
  Standing look(String key);

  /**
   * Claims a key for a run; only {@link Mine} allows it to start. {@link Free} says that nothing
   * can be claimed now.
   */
  Standing claim(String key, byte[] digest, long untilUs);

  /** The run of a claimed key has ended, with its result or (null) without. */
  void ended(String key, byte[] result);

  /** It is proven that a claimed key was not run: it is free again. */
  void neverRan(String key);

  /** What became of another's run; null while it goes on. */
  Outcome outcome(String key);

  /** No other process: each key is this one's. */
  Claims ALONE =
      new Claims() {
        @Override
        public Standing look(String key) {
          return new Free();
        }

        @Override
        public Standing claim(String key, byte[] digest, long untilUs) {
          return new Mine();
        }

        @Override
        public void ended(String key, byte[] result) {}

        @Override
        public void neverRan(String key) {}

        @Override
        public Outcome outcome(String key) {
          return new Outcome(false, null);
        }
      };
}
