package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.front.resp.RequestError.Kind;
import rosecleat.policy.Idempotency;

class RequestDecoderTest {
  private static final String VALID =
      "id=00000000000000a1,at=1764576000123,from=4,tenant=small,wait=900,kb=24.5,rank=0.6250";

  private final RequestDecoder decoder =
      new RequestDecoder(
          new RequestCatalog(
              Arrays.asList(
                  null,
                  new RequestClass("balance-check", Idempotency.SAFE, false, 0, 1_000_000),
                  new RequestClass("card-load", Idempotency.KEYED, false, 4_000_000, 1_000_000)),
              Arrays.asList("big", null, "small"),
              null));

  private DecodeResult decode(String... strings) {
    RespMessage message = new RespMessage();
    for (String string : strings) {
      message.append(string == null ? null : string.getBytes(StandardCharsets.UTF_8));
    }
    return decoder.decode(message, response -> {});
  }

  private Request decoded(String... strings) {
    return assertInstanceOf(DecodeResult.Decoded.class, decode(strings)).request();
  }

  private RequestError errorOf(String... strings) {
    return assertInstanceOf(DecodeResult.Invalid.class, decode(strings)).error();
  }

  private RequestError errorOfFields(String fields) {
    return errorOf("DO", "1", "balance-check", fields, "body");
  }

  @Test
  void validMessageIsDecodedWithCatalogIndexes() {
    Request request = decoded("DO", "1", "balance-check", VALID, "body");
    assertEquals("00000000000000a1", request.id());
    assertEquals(1_764_576_000_123_000L, request.arrivedAtUs());
    assertEquals(900_000, request.timeoutUs());
    assertEquals(1, request.classIndex());
    assertEquals(2, request.tenantIndex());
    assertEquals(4, request.callerId());
    assertEquals(24.5, request.memoryKb());
    assertEquals(0.625, request.rank());
    assertNull(request.idempotencyKey());
    assertEquals("body", new String(request.body(), StandardCharsets.UTF_8));
  }

  @Test
  void bodyMayBeAbsent() {
    assertEquals(0, decoded("DO", "1", "balance-check", VALID).body().length);
  }

  @Test
  void onlyIdempotentClassesNeedAnIdempotencyKey() {
    assertEquals("k-1", decoded("DO", "1", "card-load", VALID + ",once=k-1").idempotencyKey());
    assertEquals(
        new RequestError(Kind.MISSING_FIELD, "once"), errorOf("DO", "1", "card-load", VALID));
    assertEquals(
        new RequestError(Kind.INVALID_FIELD, "once"),
        errorOf("DO", "1", "card-load", VALID + ",once=a b"));
  }

  @Test
  void malformedMessageReportsTheInvalidPart() {
    assertEquals(new RequestError(Kind.MISSING_CLASS_OR_FIELDS), errorOf("DO", "1"));
    assertEquals(
        new RequestError(Kind.MISSING_CLASS_OR_FIELDS), errorOf("DO", "1", "balance-check", null));
    assertEquals(
        new RequestError(Kind.BODY_TOO_LONG),
        errorOf("DO", "1", "balance-check", VALID, "o".repeat(2_049)));
    assertEquals(
        new RequestError(Kind.BODY_TOO_LONG), errorOf("DO", "1", "balance-check", VALID, null));
    assertEquals(new RequestError(Kind.UNKNOWN_CLASS), errorOf("DO", "1", "card-party", VALID));
    for (String malformed : List.of("", "id", "=x", VALID + ",", VALID + ",kb=1")) {
      assertEquals(new RequestError(Kind.MALFORMED_FIELDS), errorOfFields(malformed), malformed);
    }
  }

  @Test
  void firstInvalidFieldIsReported() {
    assertEquals(new RequestError(Kind.MISSING_FIELD, "id"), errorOfFields("kb=1"));
    assertEquals(
        new RequestError(Kind.INVALID_FIELD, "id"), errorOfFields(VALID.replace("a1", "A1")));
    assertEquals(
        new RequestError(Kind.INVALID_FIELD, "at"), errorOfFields(VALID.replace("at=", "at=x")));
    assertEquals(
        new RequestError(Kind.INVALID_FIELD, "tenant"),
        errorOfFields(VALID.replace("small", "nobody")));
    assertEquals(
        new RequestError(Kind.INVALID_FIELD, "kb"), errorOfFields(VALID.replace("24.5", "2000")));
    assertEquals(
        new RequestError(Kind.INVALID_FIELD, "rank"), errorOfFields(VALID.replace("0.6", "1.6")));
    assertEquals(new RequestError(Kind.INVALID_FIELD, "key"), errorOfFields(VALID + ",key=g"));
    assertEquals("field id is missing", new RequestError(Kind.MISSING_FIELD, "id").description());
  }
}
