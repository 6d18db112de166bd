package rosecleat.net;

/**
 * Checks of short words, by hand: on a node that has just started, a regular expression for each
 * field costs more than all else that is done for a request.
 */
public final class Words {
  private Words() {}

  /** A whole number of at most so many digits (18 at the most), -1 where the text is none. */
  public static long number(CharSequence text, int most) {
    return number(text, 0, text.length(), most);
  }

  /** The same for a part of a text. */
  public static long number(CharSequence text, int from, int to, int most) {
    if (to <= from || to - from > most) {
      return -1;
    }
    long value = 0;
    for (int i = from; i < to; i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return -1;
      }
      value = 10 * value + c - '0';
    }
    return value;
  }

  /** A plain decimal number, not a number where the text is none. */
  public static double decimal(String text) {
    int point = text.indexOf('.');
    boolean good =
        point < 0
            ? number(text, 17) >= 0
            : number(text, 0, point, 17) >= 0 && number(text, point + 1, text.length(), 17) >= 0;
    return good ? Double.parseDouble(text) : Double.NaN;
  }

  /** Whether the text is so many lower-case hexadecimal digits. */
  public static boolean hex(String text, int least, int most) {
    if (text.length() < least || text.length() > most) {
      return false;
    }
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if ((c < '0' || c > '9') && (c < 'a' || c > 'f')) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether the text is 1 to 64 letters, digits, minus signs and underlines: a name, an idempotency
   * key.
   */
  public static boolean name(String text) {
    if (text.isEmpty() || text.length() > 64) {
      return false;
    }
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if ((c < '0' || c > '9')
          && (c < 'a' || c > 'z')
          && (c < 'A' || c > 'Z')
          && c != '-'
          && c != '_') {
        return false;
      }
    }
    return true;
  }
}
