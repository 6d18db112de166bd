package rosecleat.runtime;

import java.util.Arrays;
import java.util.Optional;

/**
 * Parses one line into a {@link FlatJsonObject}. Handwritten for the few forms of the protocol:
 * messages are small and frequent, and a general-purpose parser would lengthen the start of a node.
 */
final class FlatJsonParser {
  /** Maximum number of list elements stored; further elements overwrite the first ones. */
  private static final int MAX_NUMBERS = 16;

  /** Returned by {@link #peekOrEnd} after the last character. */
  private static final char END = 0;

  private static final int HEX_RADIX = 16;
  private static final int UNICODE_ESCAPE_DIGITS = 4;
  private static final String WHITESPACE = " \t\r\n";
  private static final String WORD_DELIMITERS = ",]} \t\r";

  private final String text;
  private final FlatJsonObject object = new FlatJsonObject();
  private int position;

  private FlatJsonParser(String text) {
    this.text = text;
  }

  /** Parses a line; returns empty if it is malformed. */
  static Optional<FlatJsonObject> parse(String line) {
    FlatJsonParser parser = new FlatJsonParser(line);
    try {
      parser.parseObject();
      return Optional.of(parser.object);
    } catch (IllegalArgumentException | StringIndexOutOfBoundsException e) {
      return Optional.empty(); // malformed input is expected; the caller reports it
    }
  }

  private void parseObject() {
    expect('{');
    if (peek() == '}') {
      return;
    }
    do {
      String name = parseString();
      expect(':');
      parseValue(name);
    } while (skipSeparator('}'));
    if (peekOrEnd() != END) {
      throw new IllegalArgumentException("unexpected text after the object");
    }
  }

  private void parseValue(String name) {
    switch (peek()) {
      case '"' -> object.put(name, parseString());
      case '[' -> object.setNumbers(parseNumbers());
      default -> parseLiteral(name);
    }
  }

  private void parseLiteral(String name) {
    String word = parseWord();
    if (word.equals("null")) {
      return; // equivalent to an absent field
    }
    if (!word.equals("true") && !word.equals("false")) {
      Double.parseDouble(word); // throws NumberFormatException, an IllegalArgumentException
    }
    object.put(name, word);
  }

  private double[] parseNumbers() {
    expect('[');
    double[] numbers = new double[MAX_NUMBERS];
    int count = 0;
    if (peek() == ']') {
      position++;
    } else {
      do {
        numbers[count % MAX_NUMBERS] = Double.parseDouble(parseWord());
        count++;
      } while (skipSeparator(']'));
    }
    return Arrays.copyOf(numbers, Math.min(count, MAX_NUMBERS));
  }

  private String parseWord() {
    peek();
    int start = position;
    while (position < text.length() && WORD_DELIMITERS.indexOf(text.charAt(position)) < 0) {
      position++;
    }
    return text.substring(start, position);
  }

  private String parseString() {
    expect('"');
    int end = text.indexOf('"', position);
    int escape = text.indexOf('\\', position);
    // the usual case, a string without escapes: base64 has none, except that its slash may be
    // escaped
    if (escape < 0 || escape > end) {
      String plain = text.substring(position, end);
      position = end + 1;
      return plain;
    }
    return parseEscapedString();
  }

  private String parseEscapedString() {
    StringBuilder unescaped = new StringBuilder();
    char next = text.charAt(position++);
    while (next != '"') {
      unescaped.append(next == '\\' ? parseEscape() : next);
      next = text.charAt(position++);
    }
    return unescaped.toString();
  }

  private char parseEscape() {
    char kind = text.charAt(position++);
    return switch (kind) {
      case 'n' -> '\n';
      case 't' -> '\t';
      case 'r' -> '\r';
      case 'b' -> '\b';
      case 'f' -> '\f';
      case 'u' -> {
        int start = position;
        position += UNICODE_ESCAPE_DIGITS;
        yield (char) Integer.parseInt(text.substring(start, position), HEX_RADIX);
      }
      default -> kind;
    };
  }

  /** Skips a comma and returns true, or skips the end of the object or list and returns false. */
  private boolean skipSeparator(char end) {
    char next = peek();
    position++;
    if (next != ',' && next != end) {
      throw new IllegalArgumentException("expected a comma or the end of the object or list");
    }
    return next == ',';
  }

  private void expect(char expected) {
    if (peek() != expected) {
      throw new IllegalArgumentException("expected " + expected);
    }
    position++;
  }

  private char peek() {
    char next = peekOrEnd();
    if (next == END) {
      throw new IllegalArgumentException("line ends inside the object");
    }
    return next;
  }

  /** Skips white space and returns the next character without consuming it. */
  private char peekOrEnd() {
    while (position < text.length() && WHITESPACE.indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    return position < text.length() ? text.charAt(position) : END;
  }
}
