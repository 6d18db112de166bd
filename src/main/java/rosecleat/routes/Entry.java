package rosecleat.routes;

import java.nio.charset.StandardCharsets;

/**
 * An instance under its name, or (null) that it was removed. Of two the one with the greater time
 * holds, then the one of the greater author, then the greater content: any order of delivery ends
 * the same.
 */
public record Entry(Key key, Instance instance, long time, String author) {
  /** What it goes by. */
  public record Key(String service, String name) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int by = service.compareTo(other.service);
      return by != 0 ? by : name.compareTo(other.name);
    }

    long hash() {
      return Digest.of(service + "\0" + name);
    }
  }

  boolean beats(Entry other) {
    if (other == null || time != other.time) {
      return other == null || time > other.time;
    }
    int by = author.compareTo(other.author);
    return by != 0 ? by > 0 : content() > other.content();
  }

  /** What it says, in 64 bits; 0 for what was removed. */
  long content() {
    return instance == null ? 0 : Digest.of(key.service + "\0" + key.name + "\0" + instance);
  }

  /** The whole of it in 64 bits. */
  long digest() {
    return Digest.of(key.service + "\0" + key.name + "\0" + instance + "\0" + time + "\0" + author);
  }
}

/** 64 bits of SHA-256: tables that differ must not be taken for equal. */
final class Digest {
  private static final ThreadLocal<java.security.MessageDigest> SHA =
      ThreadLocal.withInitial(
          () -> {
            try {
              return java.security.MessageDigest.getInstance("SHA-256");
            } catch (java.security.NoSuchAlgorithmException e) {
              throw new IllegalStateException(e); // each Java platform has it
            }
          });

  private Digest() {}

  static long of(String text) {
    byte[] sum = SHA.get().digest(text.getBytes(StandardCharsets.UTF_8));
    return java.nio.ByteBuffer.wrap(sum).getLong();
  }
}
