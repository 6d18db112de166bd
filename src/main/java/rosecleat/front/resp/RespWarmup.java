package rosecleat.front.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import rosecleat.core.Core;
import rosecleat.core.RequestClass;

/**
 * Takes made-up requests from their bytes to the bytes of their answers, in memory: no socket is
 * opened.
 */
public final class RespWarmup {
  private final RespParser parser = new RespParser(4 << 10);
  private final Tags tags = new Tags();
  private final Fields fields;
  private final List<RequestClass> classes;
  private final List<String> tenants;

  /** Requests by these names. */
  public RespWarmup(RequestCatalog catalog) {
    fields = new Fields(catalog.classes(), catalog.tenants(), catalog.runner());
    classes = catalog.classes();
    tenants = catalog.tenants();
  }

  /** Hands request number {@code n}, from 1 upward, to a core; false where it could not be read. */
  public boolean request(Core core, int n, long nowUs) {
    RequestClass klass = classes.get(n % classes.size());
    String id = String.format("%016x", n);
    String told =
        "id="
            + id
            + ",at="
            + nowUs / 1000
            + ",from="
            + n % 8
            + ",wait="
            + klass.timeoutUs() / 1000
            + ",kb=10.5,rank=0.5000"
            + (tenants.isEmpty() ? "" : ",tenant=" + tenants.get(n % tenants.size()))
            + (klass.idempotent() ? ",once=" + id : "");
    StringBuilder text = new StringBuilder("*5\r\n");
    for (String word : List.of("DO", Integer.toString(n), klass.name(), told, "made up")) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    try {
      List<byte[]> words =
          parser.next(ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)));
      tags.use(n);
      Fields.Outcome read =
          fields.read(words, answer -> RespReplies.answer(n, answer, core.loadAdvice()));
      if (read.wrong() == null) {
        core.submit(read.request());
      }
      return read.wrong() == null;
    } catch (RespParser.Malformed e) {
      return false;
    }
  }
}
