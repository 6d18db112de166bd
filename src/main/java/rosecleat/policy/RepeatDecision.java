package rosecleat.policy;

/** How to handle a request that may repeat another request. */
enum RepeatDecision {
  /** The request is handled as a new request. */
  RUN,
  /** The request waits for the result of the request that it repeats. */
  ATTACH,
  /** The request repeats another one, but is rejected or failed at once. */
  ANSWER
}
