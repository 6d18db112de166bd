package rosecleat.core;

/** A front's handle for the reply to one request. */
public interface Front {
  /** Sends the answer; comes at most once. Must not call back into the core. */
  void answer(Answer answer);
}
