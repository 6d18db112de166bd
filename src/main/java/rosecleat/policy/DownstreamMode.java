package rosecleat.policy;

/** The kind of dependency that this server's requests call. */
public enum DownstreamMode {
  /** Requests make no downstream calls. */
  OFF,
  /** All servers share one dependency, and each server has a quota of concurrent calls. */
  SHARED,
  /** Requests call another tier of servers, which limit the calls that they accept themselves. */
  TIER
}
