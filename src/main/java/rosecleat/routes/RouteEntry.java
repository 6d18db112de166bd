package rosecleat.routes;

/**
 * An instance under its key, or a tombstone that marks a removed instance. Of two entries with the
 * same key, the one with the greater time supersedes the other; if the times are equal, the one
 * with the greater author; then the one with the greater content digest. Replicas therefore
 * converge whatever the order of delivery.
 *
 * @param instance null for a tombstone
 * @param time the Lamport time of publication
 * @param author the name of the process that published the entry
 */
public record RouteEntry(Key key, Instance instance, long time, String author) {
  /** Identifies an entry by a service and the name of one of its instances. */
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

  /** Returns whether this entry replaces another one with the same key, or null for none. */
  boolean supersedes(RouteEntry other) {
    if (other == null || time != other.time) {
      return other == null || time > other.time;
    }
    int byAuthor = author.compareTo(other.author);
    return byAuthor != 0 ? byAuthor > 0 : contentDigest() > other.contentDigest();
  }

  /** Returns the digest of the key and the instance; 0 for a tombstone. */
  long contentDigest() {
    return instance == null ? 0 : ContentDigest.of(canonicalText());
  }

  /** Returns the digest of the complete entry, including its time and author. */
  long digest() {
    return ContentDigest.of(canonicalText() + "\0" + time + "\0" + author);
  }

  private String canonicalText() {
    String content = instance == null ? "null" : instance.canonicalText();
    return key.service + "\0" + key.name + "\0" + content;
  }
}
