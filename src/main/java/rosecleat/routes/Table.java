package rosecleat.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The instances of all services at a moment. Known by what it holds: equal content has an equal
 * digest everywhere.
 */
public final class Table {
  /** No service has any. */
  public static final Table EMPTY = new Table(Trie.EMPTY);

  private final Trie trie;

  Table(Trie trie) {
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
  public record Step(Entry.Key key, Instance before, Instance after) {
    Step inverse() {
      return new Step(key, after, before);
    }
  }

  /**
   * The fewest steps to another table: what is new first, then what changes, and last what goes.
   */
  public List<Step> diff(Table to) {
    List<Step> put = new ArrayList<>();
    List<Step> changed = new ArrayList<>();
    List<Step> removed = new ArrayList<>();
    trie.compare(
        to.trie,
        (mine, theirs) -> {
          Instance before = mine == null ? null : mine.instance();
          Instance after = theirs == null ? null : theirs.instance();
          if (before == null ? after == null : before.equals(after)) {
            return; // written again with the same content
          }
          (before == null ? put : after == null ? removed : changed)
              .add(new Step((mine == null ? theirs : mine).key(), before, after));
        });
    put.addAll(changed);
    put.addAll(removed);
    return put;
  }
}
