package rosecleat.fleet;

/** The reason to open a push/pull synchronization, with the name of its counter. */
public enum SyncReason {
  /** Joins through a seed, or merges the parts of a fleet that formed around different seeds. */
  SEED("seed"),
  /** Another member's digest has differed for some periods. */
  DIGEST_MISMATCH("differs"),
  /** The regular anti-entropy interval has passed. */
  PERIODIC("turn");

  private final String counterName;

  SyncReason(String counterName) {
    this.counterName = counterName;
  }

  /** Returns the last part of the counter's name. */
  public String counterName() {
    return counterName;
  }
}
