package rosecleat.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * An immutable snapshot of the instances of all services. Thread-safe. A table is identified by its
 * content: tables with equal content have equal digests in all processes.
 */
public final class RouteTable {
  /** The table without instances. */
  public static final RouteTable EMPTY = new RouteTable(RouteTrie.EMPTY);

  private final RouteTrie trie;

  RouteTable(RouteTrie trie) {
    this.trie = trie;
  }

  /** Returns the digest of the content. */
  public long digest() {
    return trie.contentDigest();
  }

  /** Returns the instances by service and name, both in ascending order. */
  public Map<String, Map<String, Instance>> services() {
    Map<String, Map<String, Instance>> services = new TreeMap<>();
    trie.forEach(
        entry -> {
          if (!entry.isTombstone()) {
            services
                .computeIfAbsent(entry.key().service(), service -> new TreeMap<>())
                .put(entry.key().name(), entry.instance());
          }
        });
    return services;
  }

  /**
   * A change of one instance between two tables.
   *
   * @param before the former instance, null if it was added
   * @param after the new instance, null if it was removed
   */
  public record RouteChange(RouteEntry.Key key, Instance before, Instance after) {
    RouteChange inverse() {
      return new RouteChange(key, after, before);
    }
  }

  /**
   * Returns the smallest list of changes that leads to another table: additions, then
   * modifications, then removals.
   */
  public List<RouteChange> diff(RouteTable other) {
    List<RouteChange> added = new ArrayList<>();
    List<RouteChange> modified = new ArrayList<>();
    List<RouteChange> removed = new ArrayList<>();
    trie.compare(
        other.trie,
        (former, current) -> {
          Instance before = former == null ? null : former.instance();
          Instance after = current == null ? null : current.instance();
          if (Objects.equals(before, after)) {
            return; // the entry was written again with the same instance
          }
          RouteEntry.Key key = (former == null ? current : former).key();
          List<RouteChange> changes = before == null ? added : after == null ? removed : modified;
          changes.add(new RouteChange(key, before, after));
        });
    List<RouteChange> allChanges = new ArrayList<>(added);
    allChanges.addAll(modified);
    allChanges.addAll(removed);
    return allChanges;
  }
}
