package rosecleat.core;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.core.IdempotencyClaims.ClaimStatus;
import rosecleat.core.IdempotencyClaims.OwnedByPeer;
import rosecleat.core.IdempotencyClaims.PeerRun;
import rosecleat.policy.RunOutcome;

/**
 * Makes sure that of all attempts with one idempotency key at most one runs, in any process of the
 * node, and that the others get its result. Requests without a key pass unchanged. For the core's
 * thread.
 */
final class IdempotentAttempts {
  /** Whether an attempt may start its run. */
  enum RunPermission {
    /** The run may start. */
    GRANTED,
    /** A peer process executes the run, and the attempt waits for its result. */
    RUNS_ON_PEER_PROCESS,
    /** A peer process has claimed the key for a different body. */
    KEY_CONFLICT,
    /** The key can't be claimed at present. */
    UNAVAILABLE
  }

  /**
   * Connections stay open so much longer (us) than the settings say, and an attempt may come on
   * them; keys stay in force at least as long.
   */
  private static final long IDLE_CLOSE_DELAY_US = 50_000;

  private final IdempotencyTable table;
  private final IdempotencyClaims claims;
  private final RequestCloser closer;
  private final LongSupplier clock;
  private final Counters counters;
  private long deadlineSlackUs;

  /** No key is known yet. */
  IdempotentAttempts(
      CoreSettings settings,
      IdempotencyClaims claims,
      RequestCloser closer,
      LongSupplier clock,
      Counters counters) {
    this.claims = claims;
    this.closer = closer;
    this.clock = clock;
    this.counters = counters;
    table = new IdempotencyTable(settings.maxResultBytes());
    reconfigure(settings);
  }

  /** Applies other settings from now on; the bound on cached results stays. */
  void reconfigure(CoreSettings settings) {
    deadlineSlackUs = settings.deadlineSlackUs();
    table.retainExpired(settings.maxTimeoutUs());
  }

  /** Whether the key of a request was used before with a different body, here or by a peer. */
  boolean conflicts(InFlightRequest request) {
    if (!request.idempotent()) {
      return false;
    }
    if (table.find(request).isEmpty()) {
      ClaimStatus status = claims.status(IdempotencyKey.of(request).name());
      if (status instanceof OwnedByPeer peer && inForce(peer, request)) {
        table.rememberPeerRun(request, peer);
      }
    }
    return table.conflicts(request);
  }

  private static boolean inForce(OwnedByPeer claim, InFlightRequest request) {
    return request.request().arrivedAtUs() <= claim.untilUs();
  }

  /** The policy's number of the earlier attempt that a request repeats; 0 for none. */
  long originalSequence(InFlightRequest request) {
    return request.idempotent() ? table.originalSequence(request) : 0;
  }

  /**
   * Whether a run would be a second one of a request that must run once at most: this attempt, or
   * an earlier one with the same key, may have run.
   */
  boolean wouldRunTwice(InFlightRequest request) {
    if (request.deliveryGuarantee() == DeliveryGuarantee.AT_LEAST_ONCE) {
      return false;
    }
    long original = originalSequence(request);
    return request.mayHaveRun() || (original != 0 && original != request.sequence());
  }

  /**
   * Claims the key of a request that is about to run. The key is remembered before the runner hears
   * of the run.
   */
  RunPermission claim(InFlightRequest request) {
    if (!request.idempotent()) {
      return RunPermission.GRANTED;
    }
    ClaimStatus status =
        claims.claim(
            IdempotencyKey.of(request).name(),
            IdempotencyTable.digest(request.request().body()),
            inForceUntilUs(request));
    if (status instanceof IdempotencyClaims.Owned) {
      table.startRun(request, inForceUntilUs(request));
      return RunPermission.GRANTED;
    }
    if (status instanceof OwnedByPeer peer && inForce(peer, request)) {
      return awaitPeerProcess(request, peer);
    }
    return RunPermission.UNAVAILABLE; // expired at a peer and not free yet, or no room for claims
  }

  private RunPermission awaitPeerProcess(InFlightRequest request, OwnedByPeer peer) {
    IdempotencyEntry entry = table.rememberPeerRun(request, peer);
    if (table.conflicts(request)) {
      return RunPermission.KEY_CONFLICT;
    }
    request.awaitPeerProcess(clock.getAsLong());
    entry.addWaiting(request);
    return RunPermission.RUNS_ON_PEER_PROCESS;
  }

  private long inForceUntilUs(InFlightRequest request) {
    return request.request().arrivedAtUs()
        + request.requestClass().idempotencyWindowUs()
        + deadlineSlackUs
        + IDLE_CLOSE_DELAY_US;
  }

  /** Remembers the key of a request for some time from now, at least for its class's window. */
  void remember(InFlightRequest request, long forUs) {
    if (request.idempotent()) {
      table.remember(request, Math.max(clock.getAsLong() + forUs, inForceUntilUs(request)));
    }
  }

  /** Forgets the key of a request that was not started. */
  void forget(InFlightRequest request) {
    if (request.idempotent()) {
      table.forget(request);
    }
  }

  /**
   * Responds to a request with the result of the attempt it repeats, now or when that has ended.
   */
  void replayResult(InFlightRequest request) {
    Optional<IdempotencyEntry> entry =
        request.idempotent() ? table.find(request) : Optional.empty();
    request.awaitResult(clock.getAsLong());
    if (entry.isPresent() && !entry.get().runEnded()) {
      entry.get().addWaiting(request);
      pollPeerRuns();
    } else {
      replay(request, entry.flatMap(IdempotencyEntry::result));
    }
  }

  /** Asks for the end of each run of a peer process that a request here waits for. */
  void pollPeerRuns() {
    for (IdempotencyEntry entry : table.pendingPeerRuns()) {
      if (entry.hasWaiting()) {
        pollPeerRun(entry);
      }
    }
  }

  private void pollPeerRun(IdempotencyEntry entry) {
    PeerRun run = claims.peerRun(entry.key.name());
    if (run instanceof IdempotencyClaims.Pending) {
      return;
    }
    if (run instanceof IdempotencyClaims.Completed completed) {
      counters.add("elsewhere.results");
      Optional<byte[]> result = Optional.of(completed.result());
      replay(table.endRun(entry, result), result);
      return;
    }
    counters.add("elsewhere.nothing");
    boolean neverRan = run instanceof IdempotencyClaims.NeverRan;
    replay(
        neverRan ? table.removePeerRun(entry) : table.endRun(entry, Optional.empty()),
        Optional.empty());
  }

  /** The run of a request has a result, which the attempts that wait for it get too. */
  void runCompleted(InFlightRequest request, byte[] result) {
    if (request.idempotent()) {
      claims.completed(IdempotencyKey.of(request).name(), result);
      replay(table.endRun(request, Optional.of(result)), Optional.of(result));
    }
  }

  /** The run of a request has ended without a result: the attempts that wait for one fail. */
  void runEndedWithoutResult(InFlightRequest request) {
    if (request.idempotent()) {
      claims.endedWithoutResult(IdempotencyKey.of(request).name());
      replay(table.endRun(request, Optional.empty()), Optional.empty());
    }
  }

  /**
   * A result has come of a run that was ended without one, as nothing proved that it would have
   * any. The response to its request said that it may have run; later attempts get the result.
   */
  void resultAfterEnd(String runId, byte[] result) {
    Optional<IdempotencyEntry> entry = table.endedWithoutResult(runId);
    if (entry.isPresent()) {
      counters.add("runs.proven");
      claims.completed(entry.get().key.name(), result);
      table.endRun(entry.get(), Optional.of(result)); // nobody waits for an ended run
    }
  }

  /**
   * The run of a request is proven never to have executed: its key is free again.
   *
   * @return the attempts that waited for the result
   */
  List<InFlightRequest> runNeverExecuted(InFlightRequest request) {
    if (!request.idempotent()) {
      return List.of();
    }
    List<InFlightRequest> waiting = table.removeRun(request);
    claims.neverRan(IdempotencyKey.of(request).name());
    return waiting;
  }

  /** Responds to attempts that waited for a run with its result, or with a failure without one. */
  void replay(List<InFlightRequest> waiting, Optional<byte[]> result) {
    waiting.forEach(request -> replay(request, result));
  }

  private void replay(InFlightRequest request, Optional<byte[]> result) {
    if (!request.is(RequestState.AWAITING_RESULT)) {
      return; // it was given up on while it waited
    }
    counters.add(result.isPresent() ? "reused" : "reused.nothing");
    closer.respond(request, replayed(result));
    closer.closeAndReportEnd(
        request,
        result.isPresent() ? RunOutcome.OK : RunOutcome.FAILED,
        clock.getAsLong() - request.startedUs());
  }

  private static Response replayed(Optional<byte[]> result) {
    if (result.isPresent()) {
      return new Response.Completed(result.get());
    }
    return Response.failed(
        Progress.MAY_HAVE_RUN, FailureReason.EARLIER_ATTEMPT_HAS_NO_RESULT, FailureCause.BACKEND);
  }

  /** Drops the keys that no attempt can need any longer. */
  void expire(long nowUs) {
    table.expire(nowUs);
  }
}
