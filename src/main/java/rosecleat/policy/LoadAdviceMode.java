package rosecleat.policy;

/** How callers understand the value that goes with each answer. */
public enum LoadAdviceMode {
  /** No value goes with answers. */
  OFF,
  /** The rank from 0 to 1 below which requests should not be sent here. */
  LEVEL,
  /** How many requests each caller may have outstanding here. */
  CREDIT,
  /** The server's weight from 0 to 1 in the callers' choice among servers. */
  WEIGHT
}
