package rosecleat.front.resp;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.core.RequestIdentity;
import rosecleat.core.Responder;
import rosecleat.net.TextSyntax;

/**
 * Decodes {@code DO} messages into requests of the core, using the classes and tenants of a
 * catalog.
 */
final class RequestDecoder {
  private static final int CLASS_INDEX = 2;
  private static final int FIELDS_INDEX = 3;
  private static final int BODY_INDEX = 4;
  private static final int MAX_BODY_BYTES = 2 << 10;
  private static final byte[] EMPTY_BODY = new byte[0];

  private static final int ID_DIGITS = 16;
  private static final int MAX_READ_KEY_DIGITS = 16;
  private static final int MAX_TIMESTAMP_DIGITS = 15;
  private static final int MAX_NUMBER_DIGITS = 9;
  private static final long MAX_TIMEOUT_MS = 3_600_000;
  private static final double MAX_MEMORY_KB = 2_000;
  private static final long US_PER_MS = 1_000;

  private final RequestCatalog catalog;
  private final Map<String, Integer> classIndexes;
  private final Map<String, Integer> tenantIndexes;

  RequestDecoder(RequestCatalog catalog) {
    this.catalog = catalog;
    classIndexes = new HashMap<>();
    for (int index = 0; index < catalog.classes().size(); index++) {
      RequestClass requestClass = catalog.classes().get(index);
      if (requestClass != null) {
        classIndexes.put(requestClass.name(), index);
      }
    }
    tenantIndexes = new HashMap<>();
    for (int index = 0; index < catalog.tenants().size(); index++) {
      if (catalog.tenants().get(index) != null) {
        tenantIndexes.put(catalog.tenants().get(index), index);
      }
    }
  }

  /**
   * Decodes a message that consists of a class, fields and an optional body.
   *
   * @param responder receives the response to the request
   */
  DecodeResult decode(RespMessage message, Responder responder) {
    try {
      return new DecodeResult.Decoded(request(message, responder));
    } catch (InvalidRequestException e) {
      return new DecodeResult.Invalid(e.error());
    }
  }

  private Request request(RespMessage message, Responder responder) throws InvalidRequestException {
    if (!message.has(CLASS_INDEX) || !message.has(FIELDS_INDEX)) {
      throw new InvalidRequestException(RequestError.Kind.MISSING_CLASS_OR_FIELDS);
    }
    byte[] body = body(message);
    Integer classIndex = classIndexes.get(message.text(CLASS_INDEX));
    if (classIndex == null) {
      throw new InvalidRequestException(RequestError.Kind.UNKNOWN_CLASS);
    }
    RequestFields fields = RequestFields.parse(message.text(FIELDS_INDEX));
    return request(classIndex, fields, body, responder);
  }

  private static byte[] body(RespMessage message) throws InvalidRequestException {
    if (message.size() <= BODY_INDEX) {
      return EMPTY_BODY;
    }
    if (!message.has(BODY_INDEX) || message.bytes(BODY_INDEX).length > MAX_BODY_BYTES) {
      throw new InvalidRequestException(RequestError.Kind.BODY_TOO_LONG);
    }
    return message.bytes(BODY_INDEX);
  }

  /** Validates the fields in a fixed order; the error of the first invalid field is reported. */
  private Request request(int classIndex, RequestFields fields, byte[] body, Responder responder)
      throws InvalidRequestException {
    String id = fields.required("id");
    RequestFields.check("id", TextSyntax.isLowerHex(id, ID_DIGITS, ID_DIGITS));
    long arrivedAtMs = fields.requiredNumber("at", MAX_TIMESTAMP_DIGITS);
    long callerId = fields.requiredNumber("from", MAX_NUMBER_DIGITS);
    int tenantIndex = tenantIndex(fields);
    long timeoutMs = fields.optionalNumber("wait", MAX_NUMBER_DIGITS);
    RequestFields.check("wait", timeoutMs <= MAX_TIMEOUT_MS);
    double memoryKb = TextSyntax.parseDecimal(fields.required("kb"));
    RequestFields.check("kb", memoryKb > 0 && memoryKb < MAX_MEMORY_KB);
    double rank = TextSyntax.parseDecimal(fields.optional("rank", "0"));
    RequestFields.check("rank", rank >= 0 && rank < 1);
    long retry = fields.optionalNumber("retry", 1);
    RequestFields.check("retry", retry <= 1);
    RequestClass requestClass = catalog.classes().get(classIndex);
    Optional<String> idempotencyKey = idempotencyKey(requestClass, fields);
    String readKey = fields.optional("key", "0");
    RequestFields.check("key", TextSyntax.isLowerHex(readKey, 1, MAX_READ_KEY_DIGITS));
    return new Request(
        id,
        arrivedAtMs * US_PER_MS,
        timeoutMs * US_PER_MS,
        classIndex,
        requestClass.name(),
        tenantIndex,
        callerId,
        retry == 1,
        memoryKb,
        rank,
        requestClass.idempotent() ? idempotencyKey.orElseThrow() : null,
        idempotencyKey.map(key -> identity(requestClass, fields, key, body)),
        Long.parseUnsignedLong(readKey, 16),
        body,
        Map.of(),
        catalog.runner(),
        responder);
  }

  /**
   * Returns the index of the request's tenant; a node without tenants assigns all requests to 0.
   */
  private int tenantIndex(RequestFields fields) throws InvalidRequestException {
    if (tenantIndexes.isEmpty()) {
      return 0;
    }
    Integer index = tenantIndexes.get(fields.required("tenant"));
    RequestFields.check("tenant", index != null);
    return index;
  }

  /**
   * Returns the key of a request. A request of another class may have one too, if its class was
   * idempotent when the caller sent the first attempt.
   */
  private static Optional<String> idempotencyKey(RequestClass requestClass, RequestFields fields)
      throws InvalidRequestException {
    if (!requestClass.idempotent()) {
      return Optional.of(fields.optional("once", "")).filter(TextSyntax::isName);
    }
    String key = fields.required("once");
    RequestFields.check("once", TextSyntax.isName(key));
    return Optional.of(key);
  }

  private static RequestIdentity identity(
      RequestClass requestClass, RequestFields fields, String key, byte[] body) {
    Optional<String> tenantName = Optional.of(fields.optional("tenant", ""));
    return RequestIdentity.ofStatedClass(
        requestClass.name(), tenantName.filter(name -> !name.isEmpty()), key, body);
  }
}
