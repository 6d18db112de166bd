package rosecleat.routes;

/**
 * An instance under its key, or a tombstone that says that it was removed. Of two entries with one
 * key the one with the greater time supersedes the other, then the greater author, then the greater
 * content: any order of delivery ends the same.
 *
 * @param instance null for a tombstone
 * @param time of a Lamport clock
 * @param author the process that published it
 */
public record RouteEntry(Key key, Instance instance, long time, String author) {
  /** The identity of an entry: a service and the name of one of its instances. */
  public record Key(String service, String name) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int byService = service.compareTo(other.service);
      return byService != 0 ? byService : name.compareTo(other.name);
    }

    long hash() {
      return ContentDigest.of(service + "\0" + name);
    }
  }

  boolean isTombstone() {
    return instance == null;
  }

  /** Whether this entry replaces another of its key; {@code other} may be null for none. */
  boolean supersedes(RouteEntry other) {
    if (other == null || time != other.time) {
      return other == null || time > other.time;
    }
    int byAuthor = author.compareTo(other.author);
    return byAuthor != 0 ? byAuthor > 0 : contentDigest() > other.contentDigest();
  }

  /** The digest of the key and the instance; 0 for a tombstone. */
  long contentDigest() {
    return instance == null ? 0 : ContentDigest.of(canonicalText());
  }

  /** The digest of the whole entry, with its time and author. */
  long digest() {
    return ContentDigest.of(canonicalText() + "\0" + time + "\0" + author);
  }

  private String canonicalText() {
    String content = instance == null ? "null" : instance.canonicalText();
    return key.service + "\0" + key.name + "\0" + content;
  }
}
