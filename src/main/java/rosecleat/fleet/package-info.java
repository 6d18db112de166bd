/**
 * The membership protocol of a fleet, without input or output: SWIM's failure detector and gossip,
 * Lifeguard's local health, push/pull anti-entropy, and small records that are replicated to all
 * members.
 *
 * <p>Start reading at {@link rosecleat.fleet.MembershipProtocol}, which connects the components of
 * one member and runs their timers. {@code FailureDetector} and {@code SuspicionTracker} decide
 * which members are alive, {@code MemberUpdateHandler} merges updates, {@code Dissemination} and
 * {@code Gossip} spread them, {@code AntiEntropy} and {@code SyncSession} repair differences. All
 * state belongs to the one thread that calls the protocol; the components share it through {@code
 * ProtocolContext}. Time, random numbers and messages come from the caller, and resulting actions
 * are returned as {@link rosecleat.fleet.Effect}s, so that tests can run many members on virtual
 * time. The package depends on the wire messages and the Java platform only; {@code
 * rosecleat.fleet.transport} drives it over sockets.
 */
package rosecleat.fleet;
