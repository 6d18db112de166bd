package rosecleat.core;

/**
 * The ids of requests whose runs may have executed on this node, however their callers left. A
 * request that comes again under its id is not run a second time. Bounded: the oldest ids are
 * forgotten. For the core's thread.
 */
public interface StartedRuns {
  /** Records that the run of a request is about to start. */
  void starting(String id);

  /** Records that the run of a request is known never to have executed. */
  void neverRan(String id);

  /** Returns whether a run with this id may have executed in this process or in a peer process. */
  boolean mayHaveRun(String id);

  /** Returns whether a run with this id may have executed in a peer process. */
  boolean mayHaveRunInPeer(String id);
}
