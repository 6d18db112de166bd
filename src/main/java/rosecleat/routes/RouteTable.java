package rosecleat.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The instances of all services at a moment; immutable, for any thread. It is identified by its
 * content: equal content has an equal digest everywhere.
 */
public final class RouteTable {
  /** The table without instances. */
  public static final RouteTable EMPTY = new RouteTable(RouteTrie.EMPTY);

  private final RouteTrie trie;

  RouteTable(RouteTrie trie) {
    this.trie = trie;
  }

  /** The digest of the content. */
  public long digest() {
    return trie.contentDigest();
  }

  /** The instances by service and name, both in order. */
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
   * @param before null where it is added
   * @param after null where it is removed
   */
  public record RouteChange(RouteEntry.Key key, Instance before, Instance after) {
    RouteChange inverse() {
      return new RouteChange(key, after, before);
    }
  }

  /** The fewest changes to another table: additions, then modifications, then removals. */
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
            return; // written again with the same content
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
