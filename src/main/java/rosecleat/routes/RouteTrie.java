package rosecleat.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A persistent hash trie of entries, keyed by the hash of their key, with 16 children per node.
 * Each node stores the digest of all entries below it. A comparison of two tries skips subtrees
 * with equal digests, so its cost depends on the number of differences. Digests are sums over the
 * entries, so they do not depend on the shape of the trie.
 *
 * <p>A node is empty, a leaf with the entries of one hash, or a branch with children.
 */
final class RouteTrie {
  static final RouteTrie EMPTY = new RouteTrie(null, null, 0, 0, 0);

  /**
   * Number of parts for which {@link #partDigests} returns digests: the nodes two levels below the
   * root.
   */
  static final int PARTS = 256;

  private static final int BITS_PER_LEVEL = 4;
  private static final int CHILDREN = 1 << BITS_PER_LEVEL;
  private static final int CHILD_MASK = CHILDREN - 1;

  /** The shift of the hash at the root, where its most significant bits select the child. */
  private static final int ROOT_SHIFT = Long.SIZE - BITS_PER_LEVEL;

  private final RouteTrie[] children;
  private final List<RouteEntry> entries;
  private final long digest;
  private final long contentDigest;
  private final int size;

  private RouteTrie(
      RouteTrie[] children, List<RouteEntry> entries, long digest, long contentDigest, int size) {
    this.children = children;
    this.entries = entries;
    this.digest = digest;
    this.contentDigest = contentDigest;
    this.size = size;
  }

  private static RouteTrie leaf(List<RouteEntry> entries) {
    long digest = 0;
    long contentDigest = 0;
    for (RouteEntry entry : entries) {
      digest += entry.digest();
      contentDigest += entry.contentDigest();
    }
    return new RouteTrie(null, entries, digest, contentDigest, entries.size());
  }

  private static RouteTrie branch(RouteTrie[] children) {
    long digest = 0;
    long contentDigest = 0;
    int size = 0;
    for (RouteTrie child : children) {
      if (child != null) {
        digest += child.digest;
        contentDigest += child.contentDigest;
        size += child.size;
      }
    }
    return new RouteTrie(children, null, digest, contentDigest, size);
  }

  private boolean isLeaf() {
    return entries != null;
  }

  private boolean isEmpty() {
    return entries == null && children == null;
  }

  private static int childIndex(long hash, int shift) {
    return (int) (hash >>> shift) & CHILD_MASK;
  }

  /** Returns the digest of all entries with their times and authors. */
  long digest() {
    return digest;
  }

  /**
   * Returns the digest of the instances alone, which is equal for equal tables, whichever processes
   * wrote them.
   */
  long contentDigest() {
    return contentDigest;
  }

  int size() {
    return size;
  }

  /** Returns the entry of a key; null if there is none. */
  RouteEntry get(RouteEntry.Key key) {
    RouteTrie node = this;
    long hash = key.hash();
    for (int shift = ROOT_SHIFT; node != null; shift -= BITS_PER_LEVEL) {
      if (node.isLeaf()) {
        return node.entryOf(key);
      }
      node = node.isEmpty() ? null : node.children[childIndex(hash, shift)];
    }
    return null;
  }

  private RouteEntry entryOf(RouteEntry.Key key) {
    return entries.stream().filter(entry -> entry.key().equals(key)).findFirst().orElse(null);
  }

  /** Returns this trie with an entry, which replaces any entry of the same key. */
  RouteTrie with(RouteEntry entry) {
    return with(entry, entry.key().hash(), ROOT_SHIFT);
  }

  private RouteTrie with(RouteEntry entry, long hash, int shift) {
    if (isEmpty()) {
      return leaf(List.of(entry));
    }
    if (isLeaf()) {
      long leafHash = entries.get(0).key().hash();
      if (leafHash == hash) {
        return leafWith(entry);
      }
      RouteTrie[] split = new RouteTrie[CHILDREN];
      split[childIndex(leafHash, shift)] = this;
      return branch(split).with(entry, hash, shift);
    }
    RouteTrie[] changed = children.clone();
    int index = childIndex(hash, shift);
    RouteTrie child = changed[index] == null ? EMPTY : changed[index];
    changed[index] = child.with(entry, hash, shift - BITS_PER_LEVEL);
    return branch(changed);
  }

  /** Returns this leaf with an entry of the same key, or of another key with the same hash. */
  private RouteTrie leafWith(RouteEntry entry) {
    List<RouteEntry> changed = new ArrayList<>(entries);
    changed.removeIf(each -> each.key().equals(entry.key()));
    changed.add(entry);
    changed.sort(Comparator.comparing(RouteEntry::key));
    return leaf(List.copyOf(changed));
  }

  /**
   * Returns this trie without the entry of a key, in the shape that it would have if the entry had
   * never been added.
   */
  RouteTrie without(RouteEntry.Key key) {
    return without(key, key.hash(), ROOT_SHIFT);
  }

  private RouteTrie without(RouteEntry.Key key, long hash, int shift) {
    if (isLeaf()) {
      return leafWithout(key);
    }
    int index = childIndex(hash, shift);
    if (isEmpty() || children[index] == null) {
      return this;
    }
    RouteTrie[] changed = children.clone();
    RouteTrie child = children[index].without(key, hash, shift - BITS_PER_LEVEL);
    changed[index] = child == EMPTY ? null : child;
    return collapse(changed);
  }

  private RouteTrie leafWithout(RouteEntry.Key key) {
    List<RouteEntry> rest = entries.stream().filter(entry -> !entry.key().equals(key)).toList();
    if (rest.isEmpty()) {
      return EMPTY;
    }
    return rest.size() == entries.size() ? this : leaf(rest);
  }

  /** Returns a branch with the children, or the only child if it is a leaf, or an empty trie. */
  private static RouteTrie collapse(RouteTrie[] children) {
    RouteTrie only = null;
    int count = 0;
    for (RouteTrie child : children) {
      if (child != null) {
        only = child;
        count++;
      }
    }
    if (count == 0) {
      return EMPTY;
    }
    return count == 1 && only.isLeaf() ? only : branch(children);
  }

  void forEach(Consumer<RouteEntry> action) {
    if (isLeaf()) {
      entries.forEach(action);
    } else if (!isEmpty()) {
      for (RouteTrie child : children) {
        if (child != null) {
          child.forEach(action);
        }
      }
    }
  }

  /**
   * Reports each key whose entries in this trie and another one differ, with the entry of this trie
   * and that of the other one; either is null if the trie has no such entry.
   */
  void compare(RouteTrie other, BiConsumer<RouteEntry, RouteEntry> report) {
    compare(this, other, ROOT_SHIFT, report);
  }

  private static void compare(
      RouteTrie left, RouteTrie right, int shift, BiConsumer<RouteEntry, RouteEntry> report) {
    if (left == right || (left != null && right != null && left.hasSameEntries(right))) {
      return;
    }
    if (left == null || left.size == 0 || right == null || right.size == 0) {
      if (left != null) {
        left.forEach(entry -> report.accept(entry, null));
      }
      if (right != null) {
        right.forEach(entry -> report.accept(null, entry));
      }
    } else if (left.isLeaf() && right.isLeaf()) {
      compareLeaves(left, right, report);
    } else {
      for (int index = 0; index < CHILDREN; index++) {
        compare(
            left.child(index, shift), right.child(index, shift), shift - BITS_PER_LEVEL, report);
      }
    }
  }

  private boolean hasSameEntries(RouteTrie other) {
    return digest == other.digest && size == other.size;
  }

  private static void compareLeaves(
      RouteTrie left, RouteTrie right, BiConsumer<RouteEntry, RouteEntry> report) {
    for (RouteEntry entry : left.entries) {
      RouteEntry counterpart = right.entryOf(entry.key());
      if (!entry.equals(counterpart)) {
        report.accept(entry, counterpart);
      }
    }
    for (RouteEntry entry : right.entries) {
      if (left.entryOf(entry.key()) == null) {
        report.accept(null, entry);
      }
    }
  }

  /** Returns a child of a branch; a leaf is treated as the child under which it would be. */
  private RouteTrie child(int index, int shift) {
    if (isLeaf()) {
      return childIndex(entries.get(0).key().hash(), shift) == index ? this : null;
    }
    return children[index];
  }

  /** Returns the digests of all parts. */
  long[] partDigests() {
    long[] digests = new long[PARTS];
    forEachPart((index, part) -> digests[index] = part.digest);
    return digests;
  }

  /** Returns all entries of one part. */
  List<RouteEntry> entriesOfPart(int partIndex) {
    List<RouteEntry> found = new ArrayList<>();
    forEachPart(
        (index, part) -> {
          if (index == partIndex) {
            part.forEach(found::add);
          }
        });
    return found;
  }

  private interface PartVisitor {
    void visit(int index, RouteTrie part);
  }

  private void forEachPart(PartVisitor visitor) {
    for (int first = 0; first < CHILDREN && size > 0; first++) {
      RouteTrie upper = child(first, ROOT_SHIFT);
      for (int second = 0; second < CHILDREN && upper != null; second++) {
        RouteTrie lower = upper.child(second, ROOT_SHIFT - BITS_PER_LEVEL);
        if (lower != null) {
          visitor.visit(CHILDREN * first + second, lower);
        }
      }
    }
  }
}
