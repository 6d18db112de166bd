package rosecleat.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is to be passed on, each so often: what was told least goes first, and of that the newest. A
 * newer rumour about the same takes the place of the older one. Bounded: what was told most gives
 * way.
 */
final class DisseminationQueue<T> {
  private static final int MOST = 8_192;

  /** DisseminationQueue that do not fit a datagram are passed over, so many of them at a time. */
  private static final int PASSED_OVER = 4;

  /** No rumour takes less than this (bytes). */
  private static final int LEAST = 24;

  private static final class Rumour<T> {
    final Object about;
    final T news;
    final int bytes;
    final int times;
    int told;
    boolean dropped;

    Rumour(Object about, T news, int bytes, int times) {
      this.about = about;
      this.news = news;
      this.bytes = bytes;
      this.times = times;
    }
  }

  /** By how often they were told. */
  private final List<ArrayDeque<Rumour<T>>> queues = new ArrayList<>();

  private final Map<Object, Rumour<T>> known = new HashMap<>();
  private long bytes;

  /** Takes a rumour of so many bytes to be told {@code times}. */
  void add(Object about, T news, int size, int times) {
    drop(about);
    Rumour<T> fresh = new Rumour<>(about, news, size, times);
    known.put(about, fresh);
    queue(0).addFirst(fresh);
    bytes += size;
    for (int told = queues.size() - 1; known.size() > MOST && told >= 0; told--) {
      for (Rumour<T> old = queues.get(told).pollLast();
          old != null;
          old = known.size() > MOST ? queues.get(told).pollLast() : null) {
        forget(old);
      }
    }
  }

  private ArrayDeque<Rumour<T>> queue(int told) {
    while (queues.size() <= told) {
      queues.add(new ArrayDeque<>());
    }
    return queues.get(told);
  }

  /** Nothing more is said about it. */
  void drop(Object about) {
    Rumour<T> old = known.get(about);
    if (old != null) {
      forget(old);
    }
  }

  private void forget(Rumour<T> rumour) {
    if (!rumour.dropped) {
      rumour.dropped = true; // it leaves its queue when its turn comes
      known.remove(rumour.about, rumour);
      bytes -= rumour.bytes;
    }
  }

  /** What fits in so many bytes, told once more. */
  List<T> take(int room) {
    List<T> taken = new ArrayList<>();
    List<Rumour<T>> told = new ArrayList<>();
    List<Rumour<T>> passed = new ArrayList<>();
    int left = room;
    for (int count = 0;
        count < queues.size() && left >= LEAST && passed.size() < PASSED_OVER;
        count++) {
      ArrayDeque<Rumour<T>> queue = queues.get(count);
      while (!queue.isEmpty() && left >= LEAST && passed.size() < PASSED_OVER) {
        Rumour<T> next = queue.pollFirst();
        if (next.dropped) {
          continue;
        }
        if (next.bytes > left) {
          passed.add(next);
          continue;
        }
        left -= next.bytes;
        taken.add(next.news);
        told.add(next);
      }
    }
    for (Rumour<T> each : told) {
      if (++each.told < each.times) {
        queue(each.told).addLast(each);
      } else {
        forget(each);
      }
    }
    for (int i = passed.size() - 1; i >= 0; i--) {
      queue(passed.get(i).told).addFirst(passed.get(i));
    }
    return taken;
  }

  /** How many wait to be told. */
  int size() {
    return known.size();
  }

  boolean isEmpty() {
    return known.isEmpty();
  }

  /** Bytes that wait to be told. */
  long bytes() {
    return bytes;
  }
}
