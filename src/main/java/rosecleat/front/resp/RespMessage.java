package rosecleat.front.resp;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One RESP array of bulk strings. A string over the parser's limit is absent: its bytes were
 * skipped, and the rest of the message can still be used.
 */
final class RespMessage {
  private final List<byte[]> strings = new ArrayList<>();

  /** Appends a string; null where it was over the limit. */
  void append(byte[] string) {
    strings.add(string);
  }

  /** Returns the number of strings, absent ones included. */
  int size() {
    return strings.size();
  }

  /** Whether the message has a string at an index that was not over the limit. */
  boolean has(int index) {
    return index < strings.size() && strings.get(index) != null;
  }

  /** Returns the string at an index that {@link #has} one. */
  byte[] bytes(int index) {
    return strings.get(index);
  }

  /** Returns the string at an index as UTF-8 text; empty where there is none. */
  String text(int index) {
    return has(index) ? new String(bytes(index), StandardCharsets.UTF_8) : "";
  }
}
