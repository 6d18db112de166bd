package rosecleat.routes;

/**
 * An instance under its name, or (null) that it was removed. Of two the one with the greater time
 * holds, then the one of the greater author, then the greater content: any order of delivery ends
 * the same.
 */
public record RouteEntry(Key key, Instance instance, long time, String author) {
  /** What it goes by. */
  public record Key(String service, String name) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int by = service.compareTo(other.service);
      return by != 0 ? by : name.compareTo(other.name);
    }

    long hash() {
      return ContentDigest.of(service + "\0" + name);
    }
  }

  boolean beats(RouteEntry other) {
    if (other == null || time != other.time) {
      return other == null || time > other.time;
    }
    int by = author.compareTo(other.author);
    return by != 0 ? by > 0 : contentDigest() > other.contentDigest();
  }

  /** The digest of the key and the instance; 0 for a removed entry. */
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
