/**
 * Takes every request from its submission to its one response, whatever protocol it came by.
 *
 * <p>{@link rosecleat.core.Core} reports what happens to the policy and executes the policy's
 * commands. The state of a request is a {@code RequestState}; {@code InFlightRequest} makes the
 * transitions, {@code Runs}, {@code DownstreamCalls} and {@code IdempotentAttempts} decide when.
 * The core reaches callers, runners, the downstream service and the node's other processes through
 * the interfaces {@link rosecleat.core.Responder}, {@link rosecleat.core.Runner}, {@link
 * rosecleat.core.DownstreamClient} and {@link rosecleat.core.IdempotencyClaims}, which other
 * packages implement.
 *
 * <p>All state belongs to one thread, the event loop's, and nothing here blocks. The package may
 * use {@code rosecleat.policy} and {@code rosecleat.log}; it knows no protocol and does no input or
 * output. Begin reading at {@link rosecleat.core.Core}, then {@code RequestState}.
 */
package rosecleat.core;
