package rosecleat.node;

import java.util.Optional;
import rosecleat.net.MonotonicClock;

/**
 * The graceful shutdown of a node. This class alone defines its order:
 *
 * <ol>
 *   <li>SIGTERM arrives. {@link NodeProcess} waits for a node that is just being built, and calls
 *       {@link #begin}. The time until the process is killed counts from that moment.
 *   <li>On the event loop, this member announces its departure to the fleet.
 *   <li>Learned estimates are stored. If a successor is alive, the state folder is released to it.
 *   <li>If a successor is alive, {@link TakeoverPhase} starts. Otherwise the departure is reported
 *       to the registry, the core starts to drain, and {@link DrainPhase} starts.
 *   <li>Each tick advances the phase. If a successor ends too early, the takeover becomes a drain.
 *       Shortly before the process is killed, all remaining requests get a response.
 *   <li>The phase ends: the last use of the limits is reported to peer processes, estimates are
 *       stored, the state folder is released, the counters are logged, and the callback is run.
 *   <li>{@link NodeProcess} stops the fleet membership, waits until estimates are stored ({@link
 *       Node#awaitStored}), closes the network and the log, and ends the process.
 * </ol>
 *
 * <p>For use on the event loop, except for {@link #begin} and {@link #setDrainTimeUs}.
 */
final class ShutdownSequence {
  /**
   * The platform kills a process that is being replaced by a successor this long after the longest
   * timeout of a request (us).
   */
  private static final long KILL_DELAY_US = 700_000;

  /** A longer timeout counts as this value when the time of the kill is computed (us). */
  private static final long MAX_COUNTED_TIMEOUT_US = 3_000_000;

  private final NodeParts parts;
  private volatile long drainTimeUs;
  private Optional<ShutdownPhase> phase = Optional.empty();
  private Runnable onCompletion = () -> {};

  ShutdownSequence(NodeParts parts) {
    this.parts = parts;
    setDrainTimeUs(parts.settings.nodeConfig().stopTimeoutUs());
  }

  /**
   * Sets the time between SIGTERM and the kill for a node that has no successor (us). May be called
   * from any thread.
   */
  void setDrainTimeUs(long timeUs) {
    drainTimeUs = timeUs;
  }

  /**
   * Returns whether the shutdown is in progress, that is, requests in flight are still being
   * served.
   */
  boolean isUnderWay() {
    return phase.isPresent();
  }

  /** Returns whether clients are asked to close all their connections. */
  boolean closesConnections() {
    return phase.isPresent() && phase.get().closesConnections();
  }

  /**
   * Begins the shutdown. May be called from any thread.
   *
   * @param completed called on the event loop once no work is left or the time has expired
   * @return the time until the process is killed (us)
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
    // A busy event loop runs this task late, but the time counts from SIGTERM.
    long beganAtUs = Math.min(noticeUs, parts.clock.getAsLong());
    onCompletion = completed;
    parts.log.info(
        "shutdown requested"
            + (takenOver ? ", a successor takes over, " : ", ")
            + parts.core.inFlight()
            + " requests in flight");
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

  /** Advances a shutdown that is in progress. Called with each tick. */
  void advance(long nowUs) {
    if (phase.isEmpty()) {
      return;
    }
    if (phase.get() instanceof TakeoverPhase takeover && takeover.isAbandoned()) {
      parts.log.warn("successor has ended or is leaving, this process drains");
      drain(nowUs, takeover.killedAtUs());
    }
    if (phase.get().advance()) {
      complete(nowUs);
    }
  }

  private void complete(long nowUs) {
    // The calls of this process continue to count against the limits of its peers.
    parts.limitShares.refresh(true);
    parts.persistence.saveAndRelease(nowUs);
    parts.logCounters();
    phase = Optional.empty();
    onCompletion.run();
  }
}
