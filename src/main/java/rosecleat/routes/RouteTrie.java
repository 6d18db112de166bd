package rosecleat.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A persistent map of entries by the hash of their key, 16 ways a level. Each part knows the digest
 * of all below it: what two tries share is skipped in no time, so that a comparison costs as much
 * as they differ. Digests are sums of mixed entries, so they do not depend on the shape.
 */
final class RouteTrie {
  static final RouteTrie EMPTY = new RouteTrie(null, null, 0, 0, 0);
  private static final int WAYS = 16;

  private final RouteTrie[] parts;
  private final List<RouteEntry> leaf;
  private final long digest;
  private final long content;
  private final int size;

  private RouteTrie(RouteTrie[] parts, List<RouteEntry> leaf, long digest, long content, int size) {
    this.parts = parts;
    this.leaf = leaf;
    this.digest = digest;
    this.content = content;
    this.size = size;
  }

  /** Of all entries with their times and authors. */
  long digest() {
    return digest;
  }

  /** Of what they say alone: equal where tables are, whoever made them. */
  long content() {
    return content;
  }

  int size() {
    return size;
  }

  RouteEntry get(RouteEntry.Key key) {
    RouteTrie at = this;
    long hash = key.hash();
    for (int shift = 60; at != null; shift -= 4) {
      if (at.leaf != null) {
        return at.leaf.stream().filter(e -> e.key().equals(key)).findFirst().orElse(null);
      }
      at = at.parts == null ? null : at.parts[(int) (hash >>> shift) & 15];
    }
    return null;
  }

  RouteTrie with(RouteEntry entry) {
    return with(entry, entry.key().hash(), 60);
  }

  private RouteTrie with(RouteEntry entry, long hash, int shift) {
    if (parts == null && leaf == null) {
      return leaf(List.of(entry));
    }
    if (leaf != null) {
      long there = leaf.get(0).key().hash();
      if (there == hash) { // the same key, or one of the same hash
        List<RouteEntry> all = new ArrayList<>(leaf);
        all.removeIf(e -> e.key().equals(entry.key()));
        all.add(entry);
        all.sort((a, b) -> a.key().compareTo(b.key()));
        return leaf(List.copyOf(all));
      }
      RouteTrie[] fresh = new RouteTrie[WAYS];
      fresh[(int) (there >>> shift) & 15] = this;
      return node(fresh).with(entry, hash, shift);
    }
    RouteTrie[] fresh = parts.clone();
    int way = (int) (hash >>> shift) & 15;
    fresh[way] = (fresh[way] == null ? EMPTY : fresh[way]).with(entry, hash, shift - 4);
    return node(fresh);
  }

  /** Without an entry, as if it had never been there. */
  RouteTrie without(RouteEntry.Key key) {
    return without(key, key.hash(), 60);
  }

  private RouteTrie without(RouteEntry.Key key, long hash, int shift) {
    if (leaf != null) {
      List<RouteEntry> rest = leaf.stream().filter(e -> !e.key().equals(key)).toList();
      return rest.isEmpty() ? EMPTY : rest.size() == leaf.size() ? this : leaf(rest);
    }
    int way = (int) (hash >>> shift) & 15;
    if (parts == null || parts[way] == null) {
      return this;
    }
    RouteTrie[] fresh = parts.clone();
    fresh[way] = parts[way].without(key, hash, shift - 4);
    fresh[way] = fresh[way] == EMPTY ? null : fresh[way];
    RouteTrie only = null;
    int count = 0;
    for (RouteTrie part : fresh) {
      if (part != null) {
        only = part;
        count++;
      }
    }
    return count == 0 ? EMPTY : count == 1 && only.leaf != null ? only : node(fresh);
  }

  private static RouteTrie leaf(List<RouteEntry> entries) {
    long digest = 0;
    long content = 0;
    for (RouteEntry entry : entries) {
      digest += entry.digest();
      content += entry.contentDigest();
    }
    return new RouteTrie(null, entries, digest, content, entries.size());
  }

  private static RouteTrie node(RouteTrie[] parts) {
    long digest = 0;
    long content = 0;
    int size = 0;
    for (RouteTrie part : parts) {
      if (part != null) {
        digest += part.digest;
        content += part.content;
        size += part.size;
      }
    }
    return new RouteTrie(parts, null, digest, content, size);
  }

  void each(Consumer<RouteEntry> what) {
    if (leaf != null) {
      leaf.forEach(what);
    } else if (parts != null) {
      for (RouteTrie part : parts) {
        if (part != null) {
          part.each(what);
        }
      }
    }
  }

  /**
   * Tells each key whose entry differs, with the entry there and the one in another trie; null
   * where there is none.
   */
  void compare(RouteTrie other, BiConsumer<RouteEntry, RouteEntry> told) {
    compare(this, other, 60, told);
  }

  private static void compare(
      RouteTrie a, RouteTrie b, int shift, BiConsumer<RouteEntry, RouteEntry> told) {
    if (a == b || a != null && b != null && a.digest == b.digest && a.size == b.size) {
      return;
    }
    if (a == null || a.size == 0 || b == null || b.size == 0) {
      if (a != null) {
        a.each(e -> told.accept(e, null));
      }
      if (b != null) {
        b.each(e -> told.accept(null, e));
      }
      return;
    }
    if (a.leaf != null && b.leaf != null) {
      for (RouteEntry mine : a.leaf) {
        RouteEntry theirs =
            b.leaf.stream().filter(e -> e.key().equals(mine.key())).findFirst().orElse(null);
        if (!mine.equals(theirs)) {
          told.accept(mine, theirs);
        }
      }
      for (RouteEntry theirs : b.leaf) {
        if (a.leaf.stream().noneMatch(e -> e.key().equals(theirs.key()))) {
          told.accept(null, theirs);
        }
      }
      return;
    }
    for (int way = 0; way < WAYS; way++) {
      compare(a.way(way, shift), b.way(way, shift), shift - 4, told);
    }
  }

  private RouteTrie way(int way, int shift) {
    if (leaf != null) {
      return ((int) (leaf.get(0).key().hash() >>> shift) & 15) == way ? this : null;
    }
    return parts[way];
  }

  /** The digests of the 256 parts two levels down. */
  long[] digests() {
    long[] digests = new long[WAYS * WAYS];
    each256((at, part) -> digests[at] = part.digest);
    return digests;
  }

  /** All entries of one of the 256 parts. */
  List<RouteEntry> part(int which) {
    List<RouteEntry> found = new ArrayList<>();
    each256(
        (at, part) -> {
          if (at == which) {
            part.each(found::add);
          }
        });
    return found;
  }

  private interface Part {
    void take(int at, RouteTrie part);
  }

  private void each256(Part what) {
    for (int first = 0; first < WAYS && size > 0; first++) {
      RouteTrie upper = way(first, 60);
      for (int second = 0; second < WAYS && upper != null; second++) {
        RouteTrie lower = upper.way(second, 56);
        if (lower != null) {
          what.take(WAYS * first + second, lower);
        }
      }
    }
  }
}
