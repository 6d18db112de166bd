package rosecleat.fleet;

/** Why a push/pull synchronization is opened, each with the name that its counter has. */
public enum SyncReason {
  /** To join by a seed, or to find the other half of a fleet that grew from two seeds. */
  SEED("seed"),
  /** Another member's digest has differed for some periods. */
  DIGEST_MISMATCH("differs"),
  /** The regular anti-entropy interval is over. */
  PERIODIC("turn");

  private final String counterName;

  SyncReason(String counterName) {
    this.counterName = counterName;
  }

  /** The last part of the counter's name. */
  public String counterName() {
    return counterName;
  }
}
