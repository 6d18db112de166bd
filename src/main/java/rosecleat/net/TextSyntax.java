package rosecleat.net;

/**
 * Parses and validates the short text fields that all wire formats share: numbers, hexadecimal ids
 * and names.
 *
 * <p>Written by hand rather than with regular expressions: on a process that has just started,
 * compiling and matching an expression for each field costs more than the rest of a request. All
 * methods are pure, and safe on any thread.
 */
public final class TextSyntax {
  /** The digits of the longest number that {@link #parseNumber} reads without overflow. */
  public static final int MAX_DIGITS = 18;

  /** The digits on either side of a decimal point. */
  private static final int MAX_DECIMAL_DIGITS = 17;

  private static final int MAX_NAME_LENGTH = 64;
  private static final int RADIX = 10;

  private TextSyntax() {}

  /**
   * Parses a whole number of 1 to {@code maxDigits} decimal digits.
   *
   * @param maxDigits at most {@link #MAX_DIGITS}
   * @return the number, or -1 where the text is not one
   */
  public static long parseNumber(CharSequence text, int maxDigits) {
    return parseNumber(text, 0, text.length(), maxDigits);
  }

  /**
   * Parses the characters of {@code text} from {@code start} to before {@code end} as {@link
   * #parseNumber(CharSequence, int)} does.
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

  /** Parses a plain decimal number, with neither sign nor exponent; NaN where the text is none. */
  public static double parseDecimal(String text) {
    int point = text.indexOf('.');
    boolean valid =
        point < 0
            ? parseNumber(text, MAX_DECIMAL_DIGITS) >= 0
            : parseNumber(text, 0, point, MAX_DECIMAL_DIGITS) >= 0
                && parseNumber(text, point + 1, text.length(), MAX_DECIMAL_DIGITS) >= 0;
    return valid ? Double.parseDouble(text) : Double.NaN;
  }

  /** Returns whether the text is {@code minDigits} to {@code maxDigits} lower-case hex digits. */
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
   * Returns whether the text is 1 to 64 letters, digits, hyphens and underscores: the syntax of
   * names and of idempotency keys.
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
