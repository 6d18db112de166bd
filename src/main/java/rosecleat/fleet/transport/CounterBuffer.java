package rosecleat.fleet.transport;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** Collects counter increments, so that they are reported only a few times a second. */
final class CounterBuffer {
  private final Map<String, Long> increments = new TreeMap<>();

  void increment(TransportCounter counter) {
    add(counter, 1);
  }

  void add(TransportCounter counter, long increment) {
    add(counter.counterName(), increment);
  }

  void add(String counterName, long increment) {
    increments.merge(counterName, increment, Long::sum);
  }

  /** Reports all increments and clears them. */
  void flush(BiConsumer<String, Long> report) {
    increments.forEach(report);
    increments.clear();
  }
}
