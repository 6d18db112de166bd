/**
 * The membership protocol of a fleet, without input or output: SWIM's failure detector and gossip,
 * Lifeguard's local health, push/pull anti-entropy, and small records that members share.
 *
 * <p>Begin with {@link rosecleat.fleet.MembershipProtocol}, which wires the parts of one member and
 * runs their timers; then {@code FailureDetector} and {@code SuspicionTracker} (who is there),
 * {@code MemberUpdateHandler} (how updates merge), {@code Dissemination} and {@code Gossip} (how
 * they spread), {@code AntiEntropy} and {@code SyncSession} (how differences are repaired). All
 * state belongs to the one thread that calls the protocol; its parts share it in {@code
 * ProtocolContext}. Time, random numbers and messages come from the caller, and what is to be done
 * is returned as {@link rosecleat.fleet.Effect}s, so that tests play many members on virtual time.
 * The package uses the wire messages and the Java platform only; {@code rosecleat.fleet.transport}
 * drives it over sockets.
 */
package rosecleat.fleet;
