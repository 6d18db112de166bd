package rosecleat.policy;

/** The meaning of the load advice value that accompanies each answer. */
public enum LoadAdviceMode {
  /** Answers carry no value. */
  OFF,
  /** The rank from 0 to 1 below which callers should not send requests to this server. */
  LEVEL,
  /** The number of requests that each caller may have outstanding at this server. */
  CREDIT,
  /** The weight of this server from 0 to 1 when callers choose among servers. */
  WEIGHT
}
