package rosecleat.front.resp;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One RESP array of bulk strings. A string that exceeds the parser's limit is absent, since its
 * bytes are skipped; the other strings can still be used.
 */
final class RespMessage {
  /** Objects of one string beside its bytes. */
  private static final int STRING_OBJECT_BYTES = 24;

  private final List<byte[]> strings = new ArrayList<>();
  private int heapBytes;

  /** Appends a string, or null for one that exceeds the limit. */
  void append(byte[] string) {
    strings.add(string);
    heapBytes += heapBytes(string);
  }

  /** Returns the heap that a string occupies, or null for one that exceeds the limit. */
  static int heapBytes(byte[] string) {
    return STRING_OBJECT_BYTES + (string == null ? 0 : string.length);
  }

  /** Returns the heap that the strings occupy. */
  int heapBytes() {
    return heapBytes;
  }

  /** Returns the number of strings, including absent ones. */
  int size() {
    return strings.size();
  }

  /** Returns whether the string at an index is present, that is, does not exceed the limit. */
  boolean has(int index) {
    return index < strings.size() && strings.get(index) != null;
  }

  /** Returns the string at an index for which {@link #has} returns true. */
  byte[] bytes(int index) {
    return strings.get(index);
  }

  /** Returns the string at an index, decoded as UTF-8; empty if it is absent. */
  String text(int index) {
    return has(index) ? new String(bytes(index), StandardCharsets.UTF_8) : "";
  }
}
