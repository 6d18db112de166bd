package rosecleat.front.resp;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.core.Ask;
import rosecleat.core.Core;
import rosecleat.core.Front;
import rosecleat.core.Runner;

/** Reads the fields of a request; what is wrong with them is a value. */
final class Fields {
  /** A request as read, or what is wrong with it. */
  record Outcome(Ask ask, String wrong) { }

  private static final int LONGEST_BODY = 2 << 10;
  private static final long LONGEST_WAIT_MS = 3_600_000;

  private final Map<String, Integer> classes = new HashMap<>();
  private final Map<String, Integer> tenants = new HashMap<>();
  private final List<Core.Klass> grades;
  private final Runner runner;

  Fields(List<Core.Klass> grades, List<String> tenantNames, Runner runner) {
    this.grades = grades;
    this.runner = runner;
    for (Core.Klass grade : grades) {
      classes.put(grade.name(), classes.size());
    }
    for (String tenant : tenantNames) {
      tenants.put(tenant, tenants.size());
    }
  }

  /** Makes a request of the words of a {@code DO}: class, fields and body, which may be absent. */
  Outcome read(List<byte[]> words, Front front) {
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
      return new Outcome(ask(klass, fields, body, front), null);
    } catch (IllegalArgumentException e) { // a bad field is the caller's mistake and answered as such
      return wrong(e.getMessage());
    }
  }

  private Ask ask(int klass, Map<String, String> fields, byte[] body, Front front) {
    String id = need(fields, "id", "[0-9a-f]{16}");
    long at = Long.parseLong(need(fields, "at", "[0-9]{10,15}"));
    long from = Long.parseLong(need(fields, "from", "[0-9]{1,9}"));
    int tenant = 0;
    if (!tenants.isEmpty()) {
      Integer known = tenants.get(need(fields, "tenant", ".+"));
      if (known == null) {
        throw new IllegalArgumentException("its tenant is unknown");
      }
      tenant = known;
    }
    String wait = option(fields, "wait", "[0-9]{1,9}");
    long waitMs = wait == null ? 0 : Long.parseLong(wait);
    if (waitMs > LONGEST_WAIT_MS) {
      throw new IllegalArgumentException("field wait is too long");
    }
    double kb = Double.parseDouble(need(fields, "kb", "[0-9]{1,4}(\\.[0-9]{1,9})?"));
    if (kb <= 0 || kb >= 2_000) {
      throw new IllegalArgumentException("field kb is out of range");
    }
    String rankText = option(fields, "rank", "0(\\.[0-9]{1,17})?");
    Core.Klass grade = grades.get(klass);
    String once = grade.keyed() ? need(fields, "once", "[0-9A-Za-z_-]{1,64}") : null;
    String key = option(fields, "key", "[0-9a-f]{1,16}");
    boolean retry = option(fields, "retry", "[01]") != null && fields.get("retry").equals("1");
    return new Ask(id, at * 1000, waitMs * 1000, klass, grade.name(), tenant, from, retry, kb,
        rankText == null ? 0 : Double.parseDouble(rankText), once,
        key == null ? 0 : Long.parseUnsignedLong(key, 16), body, Map.of(), runner, front);
  }

  private static Map<String, String> split(String text) {
    Map<String, String> fields = new HashMap<>();
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      if (equals <= 0 || fields.put(pair.substring(0, equals), pair.substring(equals + 1)) != null) {
        return null;
      }
    }
    return fields;
  }

  private static String need(Map<String, String> fields, String name, String form) {
    String value = option(fields, name, form);
    if (value == null) {
      throw new IllegalArgumentException("field " + name + " is missing");
    }
    return value;
  }

  private static String option(Map<String, String> fields, String name, String form) {
    String value = fields.get(name);
    if (value != null && !value.matches(form)) {
      throw new IllegalArgumentException("field " + name + " is malformed");
    }
    return value;
  }

  static String text(byte[] word) {
    return new String(word, StandardCharsets.UTF_8);
  }

  private static Outcome wrong(String why) {
    return new Outcome(null, why);
  }
}
