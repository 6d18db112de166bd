/**
 * The admission and scheduling policy of one server, and the engine through which a host uses it.
 *
 * <p>{@link rosecleat.policy.PolicyEngine} turns {@link rosecleat.policy.PolicyEvent}s into {@link
 * rosecleat.policy.PolicyCommand}s; a host may also use {@link rosecleat.policy.Policy} directly,
 * through {@link rosecleat.policy.PolicyEvents} and {@link rosecleat.policy.PolicyActions}. {@code
 * Policy} passes each event on to the classes that decide, one decision a class; they share {@code
 * PolicyContext}, {@code RequestTable} and {@code MemoryBudget}. All state belongs to the host's
 * one thread: nothing here is thread-safe, reads a clock or does input and output, and all random
 * numbers come from one seed. The package uses no other package of the project. Begin reading at
 * {@code PolicyEvents}, then {@code Policy}, {@code AdmissionController} and {@code Dispatcher}.
 */
package rosecleat.policy;
