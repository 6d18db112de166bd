package rosecleat.routes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * This process's replica of the fleet's routes: all entries with their times and authors, including
 * tombstones of removed instances, so that an old copy that arrives late does not undo a removal.
 * Not thread-safe.
 */
public final class RouteStore {
  /** Maximum number of entries, including tombstones. */
  static final int MAX_ENTRIES = 200_000;

  /** Maximum number of tombstones; beyond it, the oldest ones are removed. */
  static final int MAX_TOMBSTONES = 20_000;

  /**
   * Number of earlier states retained, so that a peer whose replica is in one of them receives only
   * the changes since that state.
   */
  static final int MAX_HISTORY = 256;

  private RouteTrie trie = RouteTrie.EMPTY;
  private final Map<Long, RouteTrie> historyByDigest = new HashMap<>();
  private final ArrayDeque<Long> historyOrder = new ArrayDeque<>();
  private final ArrayDeque<RouteEntry.Key> tombstones = new ArrayDeque<>();
  private long lamportTime;
  private long generation;

  /** Creates an empty store. */
  public RouteStore() {
    historyByDigest.put(trie.digest(), trie);
  }

  /** Returns the table of all instances that are not removed. */
  public RouteTable table() {
    return new RouteTable(trie);
  }

  /**
   * Returns the digest of all entries with their times and authors; equal replicas have equal
   * digests.
   */
  public long stateDigest() {
    return trie.digest();
  }

  /** Returns how often the content of the table has changed in this process. */
  public long generation() {
    return generation;
  }

  /** Merges entries as a single change; returns whether the store has changed. */
  public boolean merge(List<RouteEntry> entries) {
    RouteTrie merged = trie;
    for (RouteEntry entry : entries) {
      lamportTime = Math.max(lamportTime, entry.time());
      RouteEntry current = merged.get(entry.key());
      if (entry.supersedes(current) && (current != null || merged.size() < MAX_ENTRIES)) {
        merged = merged.with(entry);
        if (entry.isTombstone()) {
          tombstones.add(entry.key());
        }
      }
    }
    return replace(withoutExcessTombstones(merged));
  }

  private RouteTrie withoutExcessTombstones(RouteTrie merged) {
    RouteTrie pruned = merged;
    while (tombstones.size() > MAX_TOMBSTONES) {
      RouteEntry.Key oldest = tombstones.poll();
      RouteEntry current = pruned.get(oldest);
      if (current != null && current.isTombstone()) {
        pruned = pruned.without(oldest);
      }
    }
    return pruned;
  }

  private boolean replace(RouteTrie next) {
    if (next.digest() == trie.digest()) {
      return false;
    }
    if (next.contentDigest() != trie.contentDigest()) {
      generation++;
    }
    trie = next;
    if (historyByDigest.put(trie.digest(), trie) == null) {
      historyOrder.add(trie.digest());
      if (historyOrder.size() > MAX_HISTORY) {
        historyByDigest.remove(historyOrder.poll());
      }
    }
    return true;
  }

  /**
   * Publishes all instances of an author's file as a single change. An entry whose instance equals
   * that of the file stays as it is, whichever author wrote it. The author's entries that are not
   * in the file are removed. Returns whether the store has changed.
   */
  public boolean publish(String author, Map<RouteEntry.Key, Instance> file) {
    List<RouteEntry> updates = new ArrayList<>();
    long time = lamportTime + 1;
    file.forEach(
        (key, instance) -> {
          RouteEntry current = trie.get(key);
          if (current == null || !instance.equals(current.instance())) {
            updates.add(new RouteEntry(key, instance, time, author));
          }
        });
    trie.forEach(
        entry -> {
          if (entry.author().equals(author)
              && !entry.isTombstone()
              && !file.containsKey(entry.key())) {
            updates.add(new RouteEntry(entry.key(), null, time, author));
          }
        });
    return merge(updates);
  }

  /**
   * Returns all entries that changed since an earlier state; empty if that state is not retained.
   */
  Optional<List<RouteEntry>> changesSince(long digest) {
    RouteTrie before = historyByDigest.get(digest);
    if (before == null) {
      return Optional.empty();
    }
    List<RouteEntry> changes = new ArrayList<>();
    before.compare(
        trie,
        (former, current) -> {
          if (current != null) {
            changes.add(current);
          }
        });
    return Optional.of(changes);
  }

  RouteTrie trie() {
    return trie;
  }
}
