package rosecleat.core;

/**
 * A peer process's claim on an idempotent request.
 *
 * @param name the name under which the claim was found
 * @param claim the claim
 * @param certain whether the claim is certainly on the request that was searched; otherwise it may
 *     be on another one with the same key and payload
 */
record PeerClaim(String name, IdempotencyClaims.OwnedByPeer claim, boolean certain) {}
