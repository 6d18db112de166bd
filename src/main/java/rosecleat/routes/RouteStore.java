package rosecleat.routes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a process holds of routes, as its fleet writes them: each entry with its time and author,
 * removed ones with them, so that a removal does not come back. For one thread.
 */
public final class RouteStore {
  /** Entries at the most, and removed ones kept. */
  static final int MOST = 200_000;

  static final int MOST_REMOVED = 20_000;

  /** States kept so that a follower may be told only what has changed since. */
  static final int HISTORY = 256;

  private RouteTrie trie = RouteTrie.EMPTY;
  private final Map<Long, RouteTrie> history = new HashMap<>();
  private final ArrayDeque<Long> order = new ArrayDeque<>();
  private final ArrayDeque<RouteEntry.Key> removed = new ArrayDeque<>();
  private long time;
  private long generation;

  /** An empty one. */
  public RouteStore() {
    history.put(trie.digest(), trie);
  }

  /** What is in force. */
  public RouteTable table() {
    return new RouteTable(trie);
  }

  /** The digest of all that is held, times and authors with it. */
  public long stateDigest() {
    return trie.digest();
  }

  /** How often the table has changed in this process. */
  public long generation() {
    return generation;
  }

  /** Takes entries, whole: those that hold against what is here. True where anything changed. */
  public boolean merge(List<RouteEntry> entries) {
    RouteTrie fresh = trie;
    for (RouteEntry entry : entries) {
      time = Math.max(time, entry.time());
      RouteEntry mine = fresh.get(entry.key());
      if (entry.beats(mine) && (mine != null || fresh.size() < MOST)) {
        fresh = fresh.with(entry);
        if (entry.instance() == null) {
          removed.add(entry.key());
        }
      }
    }
    while (removed.size() > MOST_REMOVED) {
      RouteEntry.Key oldest = removed.poll();
      RouteEntry there = fresh.get(oldest);
      if (there != null && there.instance() == null) {
        fresh = fresh.without(oldest);
      }
    }
    return take(fresh);
  }

  private boolean take(RouteTrie fresh) {
    if (fresh.digest() == trie.digest()) {
      return false;
    }
    generation += fresh.content() == trie.content() ? 0 : 1;
    trie = fresh;
    if (history.put(trie.digest(), trie) == null) {
      order.add(trie.digest());
      if (order.size() > HISTORY) {
        history.remove(order.poll());
      }
    }
    return true;
  }

  /**
   * What an author writes: all of its file, all at once. Entries that say what is in force already
   * are left alone, whoever wrote them; those of its own that the file lacks are removed.
   */
  public boolean publish(String author, Map<RouteEntry.Key, Instance> file) {
    List<RouteEntry> news = new ArrayList<>();
    long next = time + 1;
    file.forEach(
        (key, instance) -> {
          RouteEntry mine = trie.get(key);
          if (mine == null || !instance.equals(mine.instance())) {
            news.add(new RouteEntry(key, instance, next, author));
          }
        });
    trie.each(
        e -> {
          if (e.author().equals(author) && e.instance() != null && !file.containsKey(e.key())) {
            news.add(new RouteEntry(e.key(), null, next, author));
          }
        });
    return merge(news);
  }

  /** All that changed since a state that is remembered; null where it is not. */
  List<RouteEntry> since(long digest) {
    RouteTrie before = history.get(digest);
    if (before == null) {
      return null;
    }
    List<RouteEntry> changed = new ArrayList<>();
    before.compare(
        trie,
        (old, now) -> {
          if (now != null) {
            changed.add(now);
          }
        });
    return changed;
  }

  RouteTrie trie() {
    return trie;
  }
}
