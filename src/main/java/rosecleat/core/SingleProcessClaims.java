package rosecleat.core;

/** Claims for a node with a single process, which owns every key. */
final class SingleProcessClaims implements IdempotencyClaims {
  @Override
  public ClaimStatus status(String key) {
    return new Unclaimed();
  }

  @Override
  public boolean peersMayHaveClaims() {
    return false;
  }

  @Override
  public ClaimStatus claim(String key, byte[] digest, long untilUs) {
    return new Owned();
  }

  @Override
  public void addAlias(String key, String alias, byte[] digest) {}

  @Override
  public void completed(String key, byte[] result) {}

  @Override
  public void endedWithoutResult(String key) {}

  @Override
  public void neverRan(String key) {}

  @Override
  public PeerRun peerRun(String key) {
    return new NeverRan();
  }
}
