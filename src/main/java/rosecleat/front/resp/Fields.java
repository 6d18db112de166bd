package rosecleat.front.resp;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.core.Responder;
import rosecleat.core.Runner;
import rosecleat.net.TextSyntax;

/** Reads the fields of a request; what is wrong with them is a value. */
final class Fields {
  /** A request as read, or what is wrong with it. */
  record Outcome(Request request, String wrong) {}

  private static final int LONGEST_BODY = 2 << 10;
  private static final long LONGEST_WAIT_MS = 3_600_000;

  private final Map<String, Integer> classes = new HashMap<>();
  private final Map<String, Integer> tenants = new HashMap<>();
  private final List<RequestClass> grades;
  private final Runner runner;

  Fields(List<RequestClass> grades, List<String> tenantNames, Runner runner) {
    this.grades = grades;
    this.runner = runner;
    for (int n = 0; n < grades.size(); n++) {
      if (grades.get(n) != null) {
        classes.put(grades.get(n).name(), n);
      }
    }
    for (int n = 0; n < tenantNames.size(); n++) {
      if (tenantNames.get(n) != null) {
        tenants.put(tenantNames.get(n), n);
      }
    }
  }

  /** Makes a request of the words of a {@code DO}: class, fields and body, which may be absent. */
  Outcome read(List<byte[]> words, Responder front) {
    if (words.size() < 4 || words.get(2) == null || words.get(3) == null) {
      return wrong("it lacks a class or fields");
    }
    byte[] body = words.size() > 4 ? words.get(4) : new byte[0];
    if (body == null || body.length > LONGEST_BODY) {
      return wrong("its body is too long");
    }
    Integer klass = classes.get(text(words.get(2)));
    if (klass == null) {
      return wrong("its class is unknown");
    }
    Map<String, String> fields = split(text(words.get(3)));
    if (fields == null) {
      return wrong("its fields are no pairs");
    }
    try {
      return new Outcome(request(klass, fields, body, front), null);
    } catch (
        IllegalArgumentException e) { // a bad field is the caller's mistake and answered as such
      return wrong(e.getMessage());
    }
  }

  private Request request(int klass, Map<String, String> fields, byte[] body, Responder front) {
    String id = need(fields, "id");
    valid("id", TextSyntax.isLowerHex(id, 16, 16));
    long at = number("at", need(fields, "at"), 15);
    long from = number("from", need(fields, "from"), 9);
    Integer tenant = tenants.isEmpty() ? Integer.valueOf(0) : tenants.get(need(fields, "tenant"));
    valid("tenant", tenant != null);
    long waitMs = number("wait", fields.getOrDefault("wait", "0"), 9);
    valid("wait", waitMs <= LONGEST_WAIT_MS);
    double kb = TextSyntax.parseDecimal(need(fields, "kb"));
    valid("kb", kb > 0 && kb < 2_000);
    double rank = TextSyntax.parseDecimal(fields.getOrDefault("rank", "0"));
    valid("rank", rank >= 0 && rank < 1);
    long retry = number("retry", fields.getOrDefault("retry", "0"), 1);
    valid("retry", retry <= 1);
    RequestClass grade = grades.get(klass);
    String once = grade.idempotent() ? need(fields, "once") : null;
    valid("once", once == null || TextSyntax.isName(once));
    String key = fields.getOrDefault("key", "0");
    valid("key", TextSyntax.isLowerHex(key, 1, 16));
    return new Request(
        id,
        at * 1000,
        waitMs * 1000,
        klass,
        grade.name(),
        tenant,
        from,
        retry == 1,
        kb,
        rank,
        once,
        Long.parseUnsignedLong(key, 16),
        body,
        Map.of(),
        runner,
        front);
  }

  private static Map<String, String> split(String text) {
    Map<String, String> fields = new HashMap<>();
    for (int from = 0; from <= text.length(); ) {
      int comma = text.indexOf(',', from);
      int end = comma < 0 ? text.length() : comma;
      int equals = text.indexOf('=', from);
      if (equals <= from
          || equals > end
          || fields.put(text.substring(from, equals), text.substring(equals + 1, end)) != null) {
        return null;
      }
      from = end + 1;
    }
    return fields;
  }

  private static String need(Map<String, String> fields, String name) {
    String value = fields.get(name);
    if (value == null) {
      throw new IllegalArgumentException("field " + name + " is missing");
    }
    return value;
  }

  private static long number(String name, String value, int most) {
    long number = TextSyntax.parseNumber(value, most);
    valid(name, number >= 0);
    return number;
  }

  private static void valid(String name, boolean good) {
    if (!good) {
      throw new IllegalArgumentException("field " + name + " is malformed or unknown");
    }
  }

  static String text(byte[] word) {
    return new String(word, StandardCharsets.UTF_8);
  }

  private static Outcome wrong(String why) {
    return new Outcome(null, why);
  }
}
