package rosecleat.net;

/**
 * Parses and validates the short text fields that all wire formats share: numbers, hexadecimal ids
 * and names.
 *
 * <p>The parsers use no regular expressions: in a process that has just started, compiling and
 * matching an expression for each field costs more than the rest of a request. All methods are pure
 * and thread-safe.
 */
public final class TextSyntax {
  /** Digits of the longest number that {@link #parseNumber} can parse without overflow. */
  public static final int MAX_DIGITS = 18;

  /** Most digits on either side of a decimal point. */
  private static final int MAX_DECIMAL_DIGITS = 17;

  private static final int MAX_NAME_LENGTH = 64;
  private static final int RADIX = 10;

  private TextSyntax() {}

  /**
   * Parses an integer of 1 to {@code maxDigits} decimal digits without a sign.
   *
   * @param maxDigits at most {@link #MAX_DIGITS}
   * @return the number, or -1 if the text is malformed
   */
  public static long parseNumber(CharSequence text, int maxDigits) {
    return parseNumber(text, 0, text.length(), maxDigits);
  }

  /**
   * Parses the part of {@code text} from {@code start} to {@code end}, exclusive, in the same way
   * as {@link #parseNumber(CharSequence, int)}.
   */
  public static long parseNumber(CharSequence text, int start, int end, int maxDigits) {
    if (end <= start || end - start > maxDigits) {
      return -1;
    }
    long value = 0;
    for (int i = start; i < end; i++) {
      char digit = text.charAt(i);
      if (!isDigit(digit)) {
        return -1;
      }
      value = RADIX * value + digit - '0';
    }
    return value;
  }

  /** Parses a decimal number without sign and exponent; returns NaN if the text is malformed. */
  public static double parseDecimal(String text) {
    int point = text.indexOf('.');
    boolean valid =
        point < 0
            ? parseNumber(text, MAX_DECIMAL_DIGITS) >= 0
            : parseNumber(text, 0, point, MAX_DECIMAL_DIGITS) >= 0
                && parseNumber(text, point + 1, text.length(), MAX_DECIMAL_DIGITS) >= 0;
    return valid ? Double.parseDouble(text) : Double.NaN;
  }

  /** Returns whether the text has {@code minDigits} to {@code maxDigits} lower-case hex digits. */
  public static boolean isLowerHex(String text, int minDigits, int maxDigits) {
    if (text.length() < minDigits || text.length() > maxDigits) {
      return false;
    }
    for (int i = 0; i < text.length(); i++) {
      char digit = text.charAt(i);
      if (!isDigit(digit) && (digit < 'a' || digit > 'f')) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether the text consists of 1 to 64 ASCII letters, digits, hyphens and underscores,
   * which is the syntax of names and idempotency keys.
   */
  public static boolean isName(String text) {
    if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
      return false;
    }
    for (int i = 0; i < text.length(); i++) {
      if (!isNameCharacter(text.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isNameCharacter(char character) {
    return isDigit(character)
        || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || character == '-'
        || character == '_';
  }

  private static boolean isDigit(char character) {
    return character >= '0' && character <= '9';
  }
}
