package rosecleat.node;

import java.util.Optional;
import rosecleat.net.MonotonicClock;

/**
 * The graceful shutdown of a node. This is the one place that orders it:
 *
 * <ol>
 *   <li>SIGTERM arrives. {@link NodeProcess} waits for a node that is just being built, and calls
 *       {@link #begin}. From that moment the time until the process is killed runs.
 *   <li>On the event loop, the fleet is told that this member leaves.
 *   <li>Learned estimates are stored. Where a successor is alive, the folder is released to it.
 *   <li>Where a successor is alive, {@link TakeoverPhase} starts. Otherwise the registry is told,
 *       the core starts to drain, and {@link DrainPhase} starts.
 *   <li>Each tick advances the phase. A successor that ends too early turns a takeover into a
 *       drain. Shortly before the process is killed all requests get a response.
 *   <li>The phase is over: the last use of the limits is reported to peers, estimates are stored,
 *       the folder is released, the counters are logged, and the callback is run.
 *   <li>{@link NodeProcess} stops the fleet's membership, waits until estimates are stored ({@link
 *       Node#awaitStored}), closes the log, and ends the process.
 * </ol>
 *
 * <p>For the event loop, except for {@link #begin} and {@link #setDrainTimeUs}.
 */
final class ShutdownSequence {
  /**
   * The platform kills a process that a successor takes over from this long after the longest
   * timeout of a request (us).
   */
  private static final long KILL_DELAY_US = 700_000;

  /** For that delay, a longer timeout counts as this one (us). */
  private static final long MAX_COUNTED_TIMEOUT_US = 3_000_000;

  private final NodeParts parts;
  private volatile long drainTimeUs;
  private Optional<ShutdownPhase> phase = Optional.empty();
  private Runnable onCompletion = () -> {};

  ShutdownSequence(NodeParts parts) {
    this.parts = parts;
    setDrainTimeUs(parts.settings.nodeConfig().stopTimeoutUs());
  }

  /** Sets how long a node that nobody takes over has from the notice on (us); for any thread. */
  void setDrainTimeUs(long timeUs) {
    drainTimeUs = timeUs;
  }

  /** Returns whether requests are still served until the node ends. */
  boolean isUnderWay() {
    return phase.isPresent();
  }

  /** Returns whether clients are asked to close all their connections. */
  boolean closesConnections() {
    return phase.isPresent() && phase.get().closesConnections();
  }

  /**
   * Begins the shutdown; for any thread.
   *
   * @param completed called on the event loop once nothing is left to do or the time is up
   * @return how long the process has until it is killed (us)
   */
  long begin(Runnable completed) {
    parts.takeover.markLeaving();
    boolean takenOver = parts.takeover.successorTakesOver();
    long timeUs =
        takenOver
            ? Math.min(parts.core.maxTimeoutUs(), MAX_COUNTED_TIMEOUT_US) + KILL_DELAY_US
            : drainTimeUs;
    long noticeUs = MonotonicClock.systemTimeUs();
    parts.loop.execute(() -> begin(takenOver, noticeUs, timeUs, completed));
    return timeUs;
  }

  private void begin(boolean takenOver, long noticeUs, long timeUs, Runnable completed) {
    // a busy loop gets here late, while the time runs
    long beganAtUs = Math.min(noticeUs, parts.clock.getAsLong());
    onCompletion = completed;
    parts.log.info(
        "told to leave"
            + (takenOver ? " by a newer process that takes over, " : ", ")
            + parts.core.inFlight()
            + " in hand");
    parts.fleet.announceLeave();
    parts.counters.add(takenOver ? "leaves.handover" : "leaves.drain");
    long killedAtUs = beganAtUs + timeUs;
    if (takenOver) {
      parts.persistence.saveAndRelease(parts.clock.getAsLong());
      phase = Optional.of(new TakeoverPhase(parts, killedAtUs));
    } else {
      parts.persistence.save(parts.clock.getAsLong());
      drain(beganAtUs, killedAtUs);
    }
  }

  private void drain(long beganAtUs, long killedAtUs) {
    parts.registry.startDraining();
    long remainingUs = killedAtUs - parts.clock.getAsLong() - ShutdownPhase.END_MARGIN_US;
    parts.core.drain(beganAtUs, remainingUs);
    phase = Optional.of(new DrainPhase(parts, killedAtUs));
  }

  /** Advances a shutdown that is under way; called with each tick. */
  void advance(long nowUs) {
    if (phase.isEmpty()) {
      return;
    }
    if (phase.get() instanceof TakeoverPhase takeover && takeover.isAbandoned()) {
      parts.log.warn("the newer process is gone: this one drains");
      drain(nowUs, takeover.killedAtUs());
    }
    if (phase.get().advance()) {
      complete(nowUs);
    }
  }

  private void complete(long nowUs) {
    parts.limitShares.refresh(true); // its calls count on for the processes that stay
    parts.persistence.saveAndRelease(nowUs);
    parts.logCounters();
    phase = Optional.empty();
    onCompletion.run();
  }
}
