package rosecleat.front.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import rosecleat.core.Core;
import rosecleat.core.RequestClass;

/**
 * Runs synthetic requests through the parser, the decoder, the core and the encoder, so that this
 * code is compiled before clients connect. Works in memory, without sockets.
 */
public final class RespWarmup {
  private static final int MAX_STRING_BYTES = 4 << 10;
  private static final int CALLERS = 8;
  private static final int US_PER_MS = 1_000;

  private final RespParser parser = new RespParser(MAX_STRING_BYTES);
  private final TagWindow tags = new TagWindow();
  private final RequestDecoder decoder;
  private final RequestCatalog catalog;

  /** Creates a warm-up that uses the classes and tenants of a catalog for its requests. */
  public RespWarmup(RequestCatalog catalog) {
    this.catalog = catalog;
    decoder = new RequestDecoder(catalog);
  }

  /**
   * Submits a synthetic request to a core.
   *
   * @param number the number of the request, from 1 upwards, which is also its id and its tag
   * @param nowUs the arrival time of the request, in Unix microseconds
   * @return false if the request could not be parsed
   */
  public boolean submitRequest(Core core, int number, long nowUs) {
    try {
      Optional<RespMessage> message = parser.next(encode(number, nowUs));
      tags.markUsed(number);
      DecodeResult decoded =
          decoder.decode(
              message.orElseThrow(),
              response -> RespEncoder.response(number, response, core.loadAdvice()));
      if (decoded instanceof DecodeResult.Decoded valid) {
        core.submit(valid.request());
        return true;
      }
      return false;
    } catch (RespProtocolException e) {
      return false;
    }
  }

  private ByteBuffer encode(int number, long nowUs) {
    RequestClass requestClass = catalog.classes().get(number % catalog.classes().size());
    StringBuilder text = new StringBuilder("*5\r\n");
    for (String string :
        List.of(
            "DO",
            Integer.toString(number),
            requestClass.name(),
            fields(number, nowUs, requestClass),
            "made up")) {
      text.append('$').append(string.length()).append("\r\n").append(string).append("\r\n");
    }
    return ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8));
  }

  private String fields(int number, long nowUs, RequestClass requestClass) {
    String id = String.format("%016x", number);
    List<String> tenants = catalog.tenants();
    return "id="
        + id
        + ",at="
        + nowUs / US_PER_MS
        + ",from="
        + number % CALLERS
        + ",wait="
        + requestClass.timeoutUs() / US_PER_MS
        + ",kb=10.5,rank=0.5000"
        + (tenants.isEmpty() ? "" : ",tenant=" + tenants.get(number % tenants.size()))
        + (requestClass.idempotent() ? ",once=" + id : "");
  }
}
