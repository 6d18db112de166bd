package rosecleat.policy;

/** What to do with a request that may repeat another. */
enum RepeatDecision {
  /** It is new work. */
  RUN,
  /** It waits for the result of the request that it repeats. */
  ATTACH,
  /** It repeats another, but is answered at once. */
  ANSWER
}
