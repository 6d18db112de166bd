package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads the limits and variable names in the section {@code uwsgi} of a broker file. */
final class UwsgiSectionReader {
  private static final int DEFAULT_PACKET_BYTES = 16 << 10;
  private static final int DEFAULT_BODY_BYTES = 64 << 10;
  private static final int DEFAULT_RESPONSE_BYTES = 1 << 20;
  private static final int DEFAULT_BUFFERED_RESPONSE_BYTES = 8 << 20;
  private static final int DEFAULT_REQUEST_TIMEOUT_MS = 5_000;
  private static final int DEFAULT_STALL_TIMEOUT_MS = 5_000;
  private static final int DEFAULT_RESPONSE_TIMEOUT_MS = 30_000;

  private UwsgiSectionReader() {}

  static UwsgiLimits limits(JsonNode section) {
    return new UwsgiLimits(
        BrokerFile.positiveInt(section, "packet_bytes", DEFAULT_PACKET_BYTES),
        BrokerFile.positiveInt(section, "body_bytes", DEFAULT_BODY_BYTES),
        BrokerFile.positiveInt(section, "reply_bytes", DEFAULT_RESPONSE_BYTES),
        BrokerFile.positiveInt(section, "replies_bytes", DEFAULT_BUFFERED_RESPONSE_BYTES),
        BrokerFile.microseconds(section, "read_ms", DEFAULT_REQUEST_TIMEOUT_MS),
        BrokerFile.microseconds(section, "stall_ms", DEFAULT_STALL_TIMEOUT_MS),
        BrokerFile.microseconds(section, "reply_ms", DEFAULT_RESPONSE_TIMEOUT_MS));
  }

  static UwsgiVariables variables(JsonNode section) {
    return new UwsgiVariables(
        section.path("team").asText("HTTP_X_TEAM"),
        section.path("deadline_ms").asText("HTTP_X_DEADLINE_MS"),
        section.path("key").asText("HTTP_IDEMPOTENCY_KEY"),
        section.path("retry").asText("HTTP_X_RETRY"));
  }
}
