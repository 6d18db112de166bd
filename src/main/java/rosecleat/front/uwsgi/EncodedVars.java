package rosecleat.front.uwsgi;

import java.nio.charset.StandardCharsets;
import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;

/**
 * The vars of a uwsgi request as an unmodifiable map, kept in the encoded form in which they were
 * received. The strings of many short vars would occupy about twenty times as much memory. A
 * look-up reads all vars up to the one it finds.
 */
final class EncodedVars extends AbstractMap<String, String> {
  /** The size of the length field before each string. */
  private static final int LENGTH_BYTES = 2;

  /** Objects beside the encoded bytes. */
  private static final int OBJECT_BYTES = 64;

  private final byte[] block;
  private final int size;

  /**
   * Wraps vars.
   *
   * @param block strings with their lengths, alternating names and values; names are unique
   * @param size the number of vars
   */
  EncodedVars(byte[] block, int size) {
    this.block = block;
    this.size = size;
  }

  /** Returns the heap that the vars occupy. */
  int heapBytes() {
    return OBJECT_BYTES + block.length;
  }

  @Override
  public int size() {
    return size;
  }

  @Override
  public boolean containsKey(Object name) {
    return get(name) != null;
  }

  @Override
  public String get(Object name) {
    byte[] wanted = ((String) name).getBytes(StandardCharsets.UTF_8);
    int position = 0;
    while (position < block.length) {
      int nameStart = position + LENGTH_BYTES;
      int nameEnd = nameStart + length(position);
      if (Arrays.equals(block, nameStart, nameEnd, wanted, 0, wanted.length)) {
        return text(nameEnd);
      }
      position = nameEnd + LENGTH_BYTES + length(nameEnd);
    }
    return null;
  }

  private int length(int position) {
    return (block[position] & 0xff) | ((block[position + 1] & 0xff) << 8);
  }

  /** Returns the string whose length field is at a position. */
  private String text(int position) {
    return new String(block, position + LENGTH_BYTES, length(position), StandardCharsets.UTF_8);
  }

  @Override
  public Set<Map.Entry<String, String>> entrySet() {
    return new AbstractSet<>() {
      @Override
      public int size() {
        return size;
      }

      @Override
      public Iterator<Map.Entry<String, String>> iterator() {
        return new VarIterator();
      }
    };
  }

  private final class VarIterator implements Iterator<Map.Entry<String, String>> {
    private int position;

    @Override
    public boolean hasNext() {
      return position < block.length;
    }

    @Override
    public Map.Entry<String, String> next() {
      if (!hasNext()) {
        throw new NoSuchElementException();
      }
      String name = text(position);
      position += LENGTH_BYTES + length(position);
      String value = text(position);
      position += LENGTH_BYTES + length(position);
      return Map.entry(name, value);
    }
  }
}
