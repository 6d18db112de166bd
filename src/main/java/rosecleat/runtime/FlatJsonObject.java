package rosecleat.runtime;

import java.util.HashMap;
import java.util.Map;

/**
 * A flat JSON object as the runtime's protocol uses it: fields of text or numbers, and at most one
 * list of numbers. Absent fields have default values, so that unknown messages can be passed over.
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

  /** Returns a field's text, empty where the field is absent. */
  String text(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns a field's whole number, 0 where the field is absent or no number. */
  long wholeNumber(String name) {
    double value = number(name);
    return Double.isNaN(value) ? 0 : (long) value;
  }

  /** Returns a duration given in milliseconds, in microseconds; 0 where there is none. */
  long millisAsMicros(String name) {
    double value = number(name);
    return Double.isNaN(value) ? 0 : Math.round(MICROS_PER_MILLI * value);
  }

  /** Returns the list of numbers, empty where there is none. */
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
