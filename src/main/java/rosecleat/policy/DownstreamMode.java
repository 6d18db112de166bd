package rosecleat.policy;

/** What this server's requests call. */
public enum DownstreamMode {
  /** Nothing. */
  OFF,
  /** A dependency that all servers share, each with a quota of concurrent calls. */
  SHARED,
  /** Another tier of servers that limit what they accept themselves. */
  TIER
}
