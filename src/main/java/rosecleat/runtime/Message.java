package rosecleat.runtime;

import java.util.HashMap;
import java.util.Map;

/** One flat JSON object of the runtime's link: strings, numbers and one list of numbers. */
final class Message {
  private final Map<String, String> fields = new HashMap<>();
  private double[] numbers = new double[0];
  private final String text;
  private int at;

  private Message(String text) {
    this.text = text;
  }

  /** Parses a line; null where it is no such object. */
  static Message parse(String line) {
    Message message = new Message(line);
    try {
      message.object();
      return message;
    } catch (IllegalArgumentException | StringIndexOutOfBoundsException e) {
      return null; // malformed input is a value here, not an event
    }
  }

  String text(String field) {
    return fields.getOrDefault(field, "");
  }

  /** A whole number, {@code otherwise} where the field is absent. */
  long number(String field, long otherwise) {
    double value = decimal(field);
    return Double.isNaN(value) ? otherwise : (long) value;
  }

  /** A span given in milliseconds, in microseconds. */
  long micros(String field) {
    double value = decimal(field);
    return Double.isNaN(value) ? 0 : Math.round(1000 * value);
  }

  /** A number, not a number where the field is absent or something else. */
  private double decimal(String field) {
    try {
      return Double.parseDouble(fields.getOrDefault(field, "NaN"));
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  double[] numbers() {
    return numbers;
  }

  private void object() {
    expect('{');
    if (peek() == '}') {
      return;
    }
    do {
      String name = string();
      expect(':');
      value(name);
    } while (another('}'));
    if (peekOrEnd() != 0) {
      throw new IllegalArgumentException("text after the object");
    }
  }

  private void value(String name) {
    switch (peek()) {
      case '"' -> fields.put(name, string());
      case '[' -> numbers = list();
      default -> {
        String word = word();
        if (!word.equals("null") && !word.equals("true") && !word.equals("false")) {
          Double.parseDouble(word); // a NumberFormatException is an IllegalArgumentException
        }
        if (!word.equals("null")) {
          fields.put(name, word);
        }
      }
    }
  }

  private double[] list() {
    expect('[');
    double[] found = new double[16];
    int count = 0;
    if (peek() != ']') {
      do {
        found[count++ % found.length] = Double.parseDouble(word());
      } while (another(']'));
    } else {
      at++;
    }
    return java.util.Arrays.copyOf(found, Math.min(count, found.length));
  }

  private String word() {
    peek();
    int start = at;
    while (at < text.length() && ",]} \t\r".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    return text.substring(start, at);
  }

  private String string() {
    expect('"');
    int end = text.indexOf('"', at);
    int escape = text.indexOf('\\', at);
    if (escape < 0 || escape > end) { // the usual case; base64 has no escapes but for a slash
      String plain = text.substring(at, end);
      at = end + 1;
      return plain;
    }
    StringBuilder out = new StringBuilder();
    for (char c = text.charAt(at++); c != '"'; c = text.charAt(at++)) {
      out.append(c == '\\' ? escaped() : c);
    }
    return out.toString();
  }

  private char escaped() {
    char c = text.charAt(at++);
    return switch (c) {
      case 'n' -> '\n';
      case 't' -> '\t';
      case 'r' -> '\r';
      case 'b' -> '\b';
      case 'f' -> '\f';
      case 'u' -> {
        at += 4;
        yield (char) Integer.parseInt(text.substring(at - 4, at), 16);
      }
      default -> c;
    };
  }

  /** Steps over a comma (true) or the end of what is open (false). */
  private boolean another(char end) {
    char c = peek();
    at++;
    if (c != ',' && c != end) {
      throw new IllegalArgumentException("a comma is missing");
    }
    return c == ',';
  }

  private void expect(char c) {
    if (peek() != c) {
      throw new IllegalArgumentException("no " + c);
    }
    at++;
  }

  private char peek() {
    char c = peekOrEnd();
    if (c == 0) {
      throw new IllegalArgumentException("too short");
    }
    return c;
  }

  private char peekOrEnd() {
    while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    return at < text.length() ? text.charAt(at) : 0;
  }
}
