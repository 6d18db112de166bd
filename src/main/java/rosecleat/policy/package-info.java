/**
 * The admission and scheduling policy of one server, and the engine through which a host uses it.
 *
 * <p>{@link rosecleat.policy.PolicyEngine} turns {@link rosecleat.policy.PolicyEvent}s into {@link
 * rosecleat.policy.PolicyCommand}s; {@link rosecleat.policy.Policy} decides. All state belongs to
 * the host's one thread: nothing here is thread-safe, reads a clock or does input and output. The
 * package uses no other package of the project. Begin reading at {@code PolicyEvents} and {@code
 * PolicyActions}, then {@code Policy}.
 */
package rosecleat.policy;
