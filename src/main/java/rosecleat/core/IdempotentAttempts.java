package rosecleat.core;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.core.IdempotencyClaims.ClaimStatus;
import rosecleat.core.IdempotencyClaims.OwnedByPeer;
import rosecleat.core.IdempotencyClaims.PeerRun;
import rosecleat.policy.RunOutcome;

/**
 * Ensures that at most one of the attempts with the same idempotency key runs, across all processes
 * of the node, and that the others get its result. Requests without a key are not affected. For the
 * core's thread.
 */
final class IdempotentAttempts {
  /** The outcome of claiming an attempt's key before its run. */
  enum RunPermission {
    /** The run may start. */
    GRANTED,
    /** A peer process executes the run; the attempt waits for its result. */
    RUNS_ON_PEER_PROCESS,
    /** A peer process has claimed the key for a different body. */
    KEY_CONFLICT,
    /** The key can't be claimed at the moment. */
    UNAVAILABLE
  }

  /**
   * How long after their configured idle timeout connections may be closed (us). An attempt may
   * still arrive on such a connection, so keys stay in force for this much longer.
   */
  private static final long IDLE_CLOSE_DELAY_US = 50_000;

  /** Heap of a remembered key, in the core, the policy and the claims. */
  private static final long KEY_HEAP_BYTES = 2_400;

  /** Share of the heap that remembered keys may occupy. */
  private static final double KEYS_HEAP_SHARE = 0.15;

  private static final int MIN_KEYS = 1_024;

  private final IdempotencyTable table;
  private final long maxKeys;
  private final IdempotencyClaims claims;
  private final RequestCloser closer;
  private final LongSupplier clock;
  private final Counters counters;
  private long deadlineSlackUs;

  /** Creates an instance without any keys. */
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
    maxKeys = maxKeys(Runtime.getRuntime().maxMemory());
    reconfigure(settings);
  }

  /** Applies updated settings. The bound on the size of cached results does not change. */
  void reconfigure(CoreSettings settings) {
    deadlineSlackUs = settings.deadlineSlackUs();
    table.retainExpired(settings.maxTimeoutUs());
    table.setWindows(
        settings.maxIdempotencyWindowUs(), settings.deadlineSlackUs() + IDLE_CLOSE_DELAY_US);
  }

  /**
   * Returns whether a request whose class is not idempotent repeats one that ran when its class
   * was, so that it must not run again.
   */
  boolean repeatsIdempotentRequest(Request request, RequestClass requestClass) {
    return !requestClass.idempotent()
        && request.identity().isPresent()
        && isKnown(request, requestClass);
  }

  private boolean isKnown(Request request, RequestClass requestClass) {
    if (table.find(request, requestClass).isEmpty()) {
      RequestIdentity identity = request.identity().orElseThrow();
      findPeerClaim(identity, request.arrivedAtUs())
          .ifPresent(peer -> table.rememberPeerRun(identity, peer));
    }
    return table.find(request, requestClass).isPresent();
  }

  /** Returns the claim of a peer process on the request of an attempt. */
  private Optional<PeerClaim> findPeerClaim(RequestIdentity identity, long arrivedAtUs) {
    for (String name : identity.searchedNames()) {
      if (claims.status(name) instanceof OwnedByPeer peer
          && arrivedAtUs <= peer.untilUs()
          && identity.matchesUnder(name, peer.byAlias())) {
        return Optional.of(new PeerClaim(name, peer, true));
      }
    }
    return claims.peersMayHaveClaims()
        ? findClaimOfEarlierVersion(identity, arrivedAtUs)
        : Optional.empty();
  }

  /**
   * Returns a claim that a process of an earlier version may have made on the request of an attempt
   * under a class and tenant that its files assigned. It has the same key and payload, but may be
   * on the request of another team.
   */
  private Optional<PeerClaim> findClaimOfEarlierVersion(
      RequestIdentity identity, long arrivedAtUs) {
    for (RequestIdentity.EarlierName each : identity.namesByEarlierVersions()) {
      if (claims.status(each.name()) instanceof OwnedByPeer peer
          && arrivedAtUs <= peer.untilUs()
          && !peer.byAlias()
          && Arrays.equals(peer.digest(), identity.payloadDigest())
          && claims.status(each.nameWithAnyTenant()) instanceof IdempotencyClaims.Unclaimed) {
        counters.add("keyed.uncertain");
        return Optional.of(new PeerClaim(each.name(), peer, false));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether the key of a request was used before with a different body, in this process or
   * a peer process.
   */
  boolean conflicts(InFlightRequest request) {
    if (!request.idempotent()) {
      return false;
    }
    isKnown(request.request(), request.requestClass());
    boolean conflicts = table.conflicts(request);
    counters.add(arrivalCounter(request, conflicts));
    return conflicts;
  }

  /** Returns the counter of an arrival by whether an earlier attempt with its key is known. */
  private String arrivalCounter(InFlightRequest request, boolean conflicts) {
    if (conflicts) {
      return "keyed.conflicts";
    }
    return table.find(request).isPresent() ? "keyed.repeats" : "keyed.new";
  }

  /** Returns the number of keys that are remembered, including expired ones not removed yet. */
  int rememberedKeys() {
    return table.size();
  }

  /** Returns how many keys a process with a heap of this size remembers. */
  static long maxKeys(long heapBytes) {
    return Math.max(MIN_KEYS, (long) (KEYS_HEAP_SHARE * heapBytes) / KEY_HEAP_BYTES);
  }

  /** Returns whether a request has a new key and no further key can be remembered. */
  boolean hasNoRoomFor(InFlightRequest request) {
    return table.size() >= maxKeys && table.find(request).isEmpty();
  }

  /** Returns the sequence number of the earlier attempt that a request repeats; 0 for none. */
  long originalSequence(InFlightRequest request) {
    return request.idempotent() ? table.originalSequence(request) : 0;
  }

  /**
   * Returns whether a run could be the second one of a request that must run at most once, because
   * this attempt or an earlier one with the same key may have run.
   */
  boolean wouldRunTwice(InFlightRequest request) {
    if (request.deliveryGuarantee() == DeliveryGuarantee.AT_LEAST_ONCE) {
      return false;
    }
    long original = originalSequence(request);
    return request.mayHaveRun() || (original != 0 && original != request.sequence());
  }

  /**
   * Makes a request that must not be run wait for the run of an earlier attempt.
   *
   * @return whether the run of an earlier attempt has started
   */
  boolean awaitEarlierRun(InFlightRequest request) {
    Optional<IdempotencyEntry> entry =
        request.idempotent() ? table.find(request) : Optional.empty();
    if (request.mayHaveRun() || entry.filter(IdempotencyEntry::runStarted).isEmpty()) {
      return false;
    }
    request.awaitRunElsewhere(clock.getAsLong());
    awaitOrReplay(request, entry.get());
    return true;
  }

  /**
   * Claims the key of a request that is about to run. The key is recorded before the run is handed
   * to the runner.
   */
  RunPermission claim(InFlightRequest request) {
    if (!request.idempotent()) {
      return RunPermission.GRANTED;
    }
    RequestIdentity identity = request.identity();
    long arrivedAtUs = request.request().arrivedAtUs();
    ClaimStatus status =
        claims.claim(identity.primaryName(), identity.contentDigest(), inForceUntilUs(request));
    boolean claimed = status instanceof IdempotencyClaims.Owned;
    if (claimed) {
      identity
          .aliases()
          .forEach(
              alias -> claims.addAlias(identity.primaryName(), alias, identity.payloadDigest()));
    }
    Optional<PeerClaim> peer =
        status instanceof OwnedByPeer owned
            ? Optional.of(new PeerClaim(identity.primaryName(), owned, true))
                .filter(each -> arrivedAtUs <= owned.untilUs())
            : findPeerClaim(identity, arrivedAtUs);
    if (claimed && peer.isEmpty()) {
      table.startRun(request, inForceUntilUs(request));
      return RunPermission.GRANTED;
    }
    if (claimed) {
      // a peer has claimed the request under another name at the same time
      claims.neverRan(identity.primaryName());
    }
    // Without a peer's claim in force, an expired one is not released yet, or no more can be made.
    return peer.isPresent() ? awaitPeerProcess(request, peer.get()) : RunPermission.UNAVAILABLE;
  }

  private RunPermission awaitPeerProcess(InFlightRequest request, PeerClaim peer) {
    IdempotencyEntry entry = table.rememberPeerRun(request.identity(), peer);
    if (table.conflicts(request)) {
      return RunPermission.KEY_CONFLICT;
    }
    request.awaitRunElsewhere(clock.getAsLong());
    awaitOrReplay(request, entry);
    return RunPermission.RUNS_ON_PEER_PROCESS;
  }

  private long inForceUntilUs(InFlightRequest request) {
    return request.request().arrivedAtUs()
        + request.requestClass().idempotencyWindowUs()
        + deadlineSlackUs
        + IDLE_CLOSE_DELAY_US;
  }

  /** Keeps the key of a request in force for {@code forUs}, and at least for its class's window. */
  void remember(InFlightRequest request, long forUs) {
    if (request.idempotent()) {
      table.remember(request, Math.max(clock.getAsLong() + forUs, inForceUntilUs(request)));
    }
  }

  /** Removes the key of a request whose run was not started. */
  void forget(InFlightRequest request) {
    if (request.idempotent()) {
      table.forget(request);
    }
  }

  /**
   * Responds to a request with the result of the attempt that it repeats, as soon as that attempt
   * has ended.
   */
  void replayResult(InFlightRequest request) {
    Optional<IdempotencyEntry> entry =
        request.idempotent() ? table.find(request) : Optional.empty();
    request.awaitResult(clock.getAsLong());
    if (entry.isPresent()) {
      awaitOrReplay(request, entry.get());
    } else {
      replay(request, Optional.empty());
    }
  }

  private void awaitOrReplay(InFlightRequest request, IdempotencyEntry entry) {
    if (entry.runEnded()) {
      replay(request, entry.result());
    } else {
      entry.addWaiting(request);
      pollPeerRuns();
    }
  }

  /** Checks whether the runs of peer processes that requests here wait for have ended. */
  void pollPeerRuns() {
    for (IdempotencyEntry entry : table.pendingPeerRuns()) {
      if (entry.hasWaiting()) {
        pollPeerRun(entry);
      }
    }
  }

  private void pollPeerRun(IdempotencyEntry entry) {
    PeerRun run = claims.peerRun(entry.claimName());
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

  /**
   * Publishes the result of a request's run and responds with it to the attempts that wait for it.
   */
  void runCompleted(InFlightRequest request, byte[] result) {
    if (request.idempotent()) {
      claims.completed(request.identity().primaryName(), result);
      replay(table.endRun(request, Optional.of(result)), Optional.of(result));
    }
  }

  /** Handles the end of a request's run without a result: the attempts that wait for it fail. */
  void runEndedWithoutResult(InFlightRequest request) {
    if (request.idempotent()) {
      claims.endedWithoutResult(request.identity().primaryName());
      replay(table.endRun(request, Optional.empty()), Optional.empty());
    }
  }

  /**
   * Stores the result of a run that was closed without one, because it was unknown whether the run
   * would complete. The response to its request stated that it may have run; later attempts get the
   * result.
   */
  void resultAfterEnd(String runId, byte[] result) {
    Optional<IdempotencyEntry> entry = table.endedWithoutResult(runId);
    if (entry.isPresent()) {
      counters.add("runs.proven");
      claims.completed(entry.get().claimName(), result);
      table.endRun(entry.get(), Optional.of(result)); // no attempt waits for an ended run
    }
  }

  /**
   * Releases the key of a request whose run is known never to have executed.
   *
   * @return the attempts that waited for the result
   */
  List<InFlightRequest> runNeverExecuted(InFlightRequest request) {
    if (!request.idempotent()) {
      return List.of();
    }
    List<InFlightRequest> waiting = table.removeRun(request);
    claims.neverRan(request.identity().primaryName());
    return waiting;
  }

  /**
   * Responds to attempts that waited for a run with its result, or with a failure if it has none.
   */
  void replay(List<InFlightRequest> waiting, Optional<byte[]> result) {
    waiting.forEach(request -> replay(request, result));
  }

  private void replay(InFlightRequest request, Optional<byte[]> result) {
    if (!request.is(RequestState.AWAITING_RESULT)) {
      return; // abandoned while it waited
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

  /** Removes the keys that no attempt can need any longer. */
  void expire(long nowUs) {
    table.expire(nowUs);
  }
}
