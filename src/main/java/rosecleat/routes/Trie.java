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
final class Trie {
  static final Trie EMPTY = new Trie(null, null, 0, 0, 0);
  private static final int WAYS = 16;

  private final Trie[] parts;
  private final List<Entry> leaf;
  private final long digest;
  private final long content;
  private final int size;

  private Trie(Trie[] parts, List<Entry> leaf, long digest, long content, int size) {
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

  Entry get(Entry.Key key) {
    Trie at = this;
    long hash = key.hash();
    for (int shift = 60; at != null; shift -= 4) {
      if (at.leaf != null) {
        return at.leaf.stream().filter(e -> e.key().equals(key)).findFirst().orElse(null);
      }
      at = at.parts == null ? null : at.parts[(int) (hash >>> shift) & 15];
    }
    return null;
  }

  Trie with(Entry entry) {
    return with(entry, entry.key().hash(), 60);
  }

  private Trie with(Entry entry, long hash, int shift) {
    if (parts == null && leaf == null) {
      return leaf(List.of(entry));
    }
    if (leaf != null) {
      long there = leaf.get(0).key().hash();
      if (there == hash) { // the same key, or one of the same hash
        List<Entry> all = new ArrayList<>(leaf);
        all.removeIf(e -> e.key().equals(entry.key()));
        all.add(entry);
        all.sort((a, b) -> a.key().compareTo(b.key()));
        return leaf(List.copyOf(all));
      }
      Trie[] fresh = new Trie[WAYS];
      fresh[(int) (there >>> shift) & 15] = this;
      return node(fresh).with(entry, hash, shift);
    }
    Trie[] fresh = parts.clone();
    int way = (int) (hash >>> shift) & 15;
    fresh[way] = (fresh[way] == null ? EMPTY : fresh[way]).with(entry, hash, shift - 4);
    return node(fresh);
  }

  /** Without an entry, as if it had never been there. */
  Trie without(Entry.Key key) {
    return without(key, key.hash(), 60);
  }

  private Trie without(Entry.Key key, long hash, int shift) {
    if (leaf != null) {
      List<Entry> rest = leaf.stream().filter(e -> !e.key().equals(key)).toList();
      return rest.isEmpty() ? EMPTY : rest.size() == leaf.size() ? this : leaf(rest);
    }
    int way = (int) (hash >>> shift) & 15;
    if (parts == null || parts[way] == null) {
      return this;
    }
    Trie[] fresh = parts.clone();
    fresh[way] = parts[way].without(key, hash, shift - 4);
    fresh[way] = fresh[way] == EMPTY ? null : fresh[way];
    Trie only = null;
    int count = 0;
    for (Trie part : fresh) {
      if (part != null) {
        only = part;
        count++;
      }
    }
    return count == 0 ? EMPTY : count == 1 && only.leaf != null ? only : node(fresh);
  }

  private static Trie leaf(List<Entry> entries) {
    long digest = 0;
    long content = 0;
    for (Entry entry : entries) {
      digest += entry.digest();
      content += entry.content();
    }
    return new Trie(null, entries, digest, content, entries.size());
  }

  private static Trie node(Trie[] parts) {
    long digest = 0;
    long content = 0;
    int size = 0;
    for (Trie part : parts) {
      if (part != null) {
        digest += part.digest;
        content += part.content;
        size += part.size;
      }
    }
    return new Trie(parts, null, digest, content, size);
  }

  void each(Consumer<Entry> what) {
    if (leaf != null) {
      leaf.forEach(what);
    } else if (parts != null) {
      for (Trie part : parts) {
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
  void compare(Trie other, BiConsumer<Entry, Entry> told) {
    compare(this, other, 60, told);
  }

  private static void compare(Trie a, Trie b, int shift, BiConsumer<Entry, Entry> told) {
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
      for (Entry mine : a.leaf) {
        Entry theirs =
            b.leaf.stream().filter(e -> e.key().equals(mine.key())).findFirst().orElse(null);
        if (!mine.equals(theirs)) {
          told.accept(mine, theirs);
        }
      }
      for (Entry theirs : b.leaf) {
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

  private Trie way(int way, int shift) {
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
  List<Entry> part(int which) {
    List<Entry> found = new ArrayList<>();
    each256(
        (at, part) -> {
          if (at == which) {
            part.each(found::add);
          }
        });
    return found;
  }

  private interface Part {
    void take(int at, Trie part);
  }

  private void each256(Part what) {
    for (int first = 0; first < WAYS && size > 0; first++) {
      Trie upper = way(first, 60);
      for (int second = 0; second < WAYS && upper != null; second++) {
        Trie lower = upper.way(second, 56);
        if (lower != null) {
          what.take(WAYS * first + second, lower);
        }
      }
    }
  }
}
