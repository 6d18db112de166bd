package rosecleat.runtime;

import java.util.HashMap;
import java.util.Map;

/**
 * A flat JSON object as used by the runtime's protocol: text or number fields, and at most one list
 * of numbers. Absent fields have default values, so that messages of unknown type can be ignored.
 */
final class FlatJsonObject {
  private static final double MICROS_PER_MILLI = 1000;

  private final Map<String, String> fields = new HashMap<>();
  private double[] numbers = new double[0];

  void put(String name, String value) {
    fields.put(name, value);
  }

  void setNumbers(double[] list) {
    numbers = list;
  }

  /** Returns a field's text; empty if the field is absent. */
  String text(String name) {
    return fields.getOrDefault(name, "");
  }

  /**
   * Returns a numeric field truncated to a whole number; 0 if the field is absent or not a number.
   */
  long wholeNumber(String name) {
    double value = number(name);
    return Double.isNaN(value) ? 0 : (long) value;
  }

  /**
   * Returns a duration field, which is in milliseconds, in microseconds; 0 if it is absent or not a
   * number.
   */
  long millisAsMicros(String name) {
    double value = number(name);
    return Double.isNaN(value) ? 0 : Math.round(MICROS_PER_MILLI * value);
  }

  /** Returns the list of numbers; empty if there is none. */
  double[] numbers() {
    return numbers;
  }

  private double number(String name) {
    try {
      return Double.parseDouble(fields.getOrDefault(name, "NaN"));
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
