package rosecleat.core;

/** Started runs of a node with a single process. */
public final class LocalStartedRuns implements StartedRuns {
  private final RunIdTable ids = new RunIdTable();

  @Override
  public void starting(String id) {
    ids.add(RunIdTable.valueOf(id));
  }

  @Override
  public void neverRan(String id) {
    ids.remove(RunIdTable.valueOf(id));
  }

  @Override
  public boolean mayHaveRun(String id) {
    return ids.contains(RunIdTable.valueOf(id));
  }

  @Override
  public boolean mayHaveRunInPeer(String id) {
    return false;
  }
}
