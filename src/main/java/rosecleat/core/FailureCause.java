package rosecleat.core;

/** The party that caused a request to fail. */
public enum FailureCause {
  /** The request is invalid or contradicts another one. */
  CALLER,
  /** This process abandoned the request for lack of time. */
  TIME,
  /** The runner, or a service it depends on, failed. */
  BACKEND
}
