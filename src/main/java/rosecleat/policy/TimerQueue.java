package rosecleat.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The policy's timers, in the order in which they fire. */
final class TimerQueue {
  private record Timer(long atUs, long sequence, long tag) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::sequence));
  private long nextSequence;

  void add(long atUs, long tag) {
    timers.add(new Timer(atUs, nextSequence++, tag));
  }

  boolean isDue(long nowUs) {
    return !timers.isEmpty() && timers.peek().atUs <= nowUs;
  }

  /** Removes the next timer and returns its tag. */
  long removeNext() {
    return timers.remove().tag;
  }

  /** Returns the time of the next timer (us), {@code Long.MAX_VALUE} if there is none. */
  long nextUs() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atUs;
  }
}
