/**
 * Processes each request from its submission to its response, independently of the protocol by
 * which it arrived.
 *
 * <p>{@link rosecleat.core.Core} reports events to the policy and executes the policy's commands.
 * The state of a request is a {@code RequestState}. {@code InFlightRequest} implements the
 * transitions; {@code Runs}, {@code DownstreamCalls} and {@code IdempotentAttempts} trigger them.
 * The core reaches callers, runners, the downstream service and the node's other processes through
 * the interfaces {@link rosecleat.core.Responder}, {@link rosecleat.core.Runner}, {@link
 * rosecleat.core.DownstreamClient} and {@link rosecleat.core.IdempotencyClaims}, which other
 * packages implement.
 *
 * <p>All state is confined to the thread of the event loop, and nothing here blocks. The package
 * depends on {@code rosecleat.policy} and {@code rosecleat.log} only; it is independent of
 * protocols and does no input or output. Start reading at {@link rosecleat.core.Core}, then {@code
 * RequestState}.
 */
package rosecleat.core;
