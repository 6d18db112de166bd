package rosecleat.front.resp;

import java.util.HashMap;
import java.util.Map;
import rosecleat.net.TextSyntax;

/** The fields of a request: {@code name=value} pairs, separated by commas. */
final class RequestFields {
  private final Map<String, String> values;

  private RequestFields(Map<String, String> values) {
    this.values = values;
  }

  /**
   * Parses a list of fields.
   *
   * @throws InvalidRequestException if an element is not a pair or a name occurs twice
   */
  static RequestFields parse(String text) throws InvalidRequestException {
    Map<String, String> values = new HashMap<>();
    int start = 0;
    while (start <= text.length()) {
      int comma = text.indexOf(',', start);
      int end = comma < 0 ? text.length() : comma;
      int equals = text.indexOf('=', start);
      boolean isPair = equals > start && equals <= end;
      if (!isPair
          || values.put(text.substring(start, equals), text.substring(equals + 1, end)) != null) {
        throw new InvalidRequestException(RequestError.Kind.MALFORMED_FIELDS);
      }
      start = end + 1;
    }
    return new RequestFields(values);
  }

  /** Returns the value of a required field. */
  String required(String name) throws InvalidRequestException {
    String value = values.get(name);
    if (value == null) {
      throw new InvalidRequestException(new RequestError(RequestError.Kind.MISSING_FIELD, name));
    }
    return value;
  }

  /** Returns the value of a field, or the default if it is absent. */
  String optional(String name, String defaultValue) {
    return values.getOrDefault(name, defaultValue);
  }

  /** Returns the value of a required field as an integer of at most {@code maxDigits} digits. */
  long requiredNumber(String name, int maxDigits) throws InvalidRequestException {
    return number(name, required(name), maxDigits);
  }

  /**
   * Returns a field's value as an integer of at most {@code maxDigits} digits; 0 if it is absent.
   */
  long optionalNumber(String name, int maxDigits) throws InvalidRequestException {
    return number(name, optional(name, "0"), maxDigits);
  }

  private static long number(String name, String value, int maxDigits)
      throws InvalidRequestException {
    long number = TextSyntax.parseNumber(value, maxDigits);
    check(name, number >= 0);
    return number;
  }

  /** Rejects the request because of the named field unless its value is valid. */
  static void check(String name, boolean valid) throws InvalidRequestException {
    if (!valid) {
      throw new InvalidRequestException(new RequestError(RequestError.Kind.INVALID_FIELD, name));
    }
  }
}
