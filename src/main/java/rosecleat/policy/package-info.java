/**
 * The admission and scheduling policy of one server, and the engine through which a host uses it.
 *
 * <p>{@link rosecleat.policy.PolicyEngine} turns {@link rosecleat.policy.PolicyEvent}s into {@link
 * rosecleat.policy.PolicyCommand}s; a host may also use {@link rosecleat.policy.Policy} directly,
 * through {@link rosecleat.policy.PolicyEvents} and {@link rosecleat.policy.PolicyActions}. {@code
 * Policy} passes each event to the classes that decide, with one class per decision; these share
 * {@code PolicyContext}, {@code RequestTable} and {@code MemoryBudget}. All state is confined to
 * one thread of the host: no class here is thread-safe, reads a clock or performs input or output,
 * and all random numbers come from one seed. The package depends on no other package of the
 * project. Good entry points for a reader are {@code PolicyEvents}, then {@code Policy}, {@code
 * AdmissionController} and {@code Dispatcher}.
 */
package rosecleat.policy;
