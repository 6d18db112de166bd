package rosecleat.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The instances of all services at a moment. Known by what it holds: equal content has an equal
 * digest everywhere.
 */
public final class RouteTable {
  /** No service has any. */
  public static final RouteTable EMPTY = new RouteTable(RouteTrie.EMPTY);

  private final RouteTrie trie;

  RouteTable(RouteTrie trie) {
    this.trie = trie;
  }

  /** The digest of what it holds. */
  public long digest() {
    return trie.content();
  }

  /** By service, each with its instances by name. */
  public Map<String, Map<String, Instance>> services() {
    Map<String, Map<String, Instance>> services = new TreeMap<>();
    trie.each(
        e -> {
          if (e.instance() != null) {
            services
                .computeIfAbsent(e.key().service(), s -> new TreeMap<>())
                .put(e.key().name(), e.instance());
          }
        });
    return services;
  }

  /** One step from a table to another: an instance put, changed or (null) removed. */
  public record RouteChange(RouteEntry.Key key, Instance before, Instance after) {
    RouteChange inverse() {
      return new RouteChange(key, after, before);
    }
  }

  /**
   * The fewest steps to another table: what is new first, then what changes, and last what goes.
   */
  public List<RouteChange> diff(RouteTable to) {
    List<RouteChange> put = new ArrayList<>();
    List<RouteChange> changed = new ArrayList<>();
    List<RouteChange> removed = new ArrayList<>();
    trie.compare(
        to.trie,
        (mine, theirs) -> {
          Instance before = mine == null ? null : mine.instance();
          Instance after = theirs == null ? null : theirs.instance();
          if (before == null ? after == null : before.equals(after)) {
            return; // written again with the same content
          }
          (before == null ? put : after == null ? removed : changed)
              .add(new RouteChange((mine == null ? theirs : mine).key(), before, after));
        });
    put.addAll(changed);
    put.addAll(removed);
    return put;
  }
}
