package rosecleat.runtime;

import java.util.Base64;
import rosecleat.core.Request;

/** Encodes commands to the runtime as lines of JSON, without the line terminator. */
final class RuntimeCommandEncoder {
  private RuntimeCommandEncoder() {}

  /**
   * Encodes the first message on a connection, which requests all numbered messages after the last
   * one read.
   */
  static String sync(long lastSequence) {
    return "{\"type\":\"sync\",\"n\":" + lastSequence + "}";
  }

  static String start(Request request) {
    return "{\"type\":\"start\",\"job\":\""
        + request.id()
        + "\",\"kind\":\""
        + request.className()
        + "\",\"data\":\""
        + base64(request.body())
        + "\"}";
  }

  static String cancel(String id) {
    return "{\"type\":\"stop\",\"job\":\"" + id + "\"}";
  }

  static String completeCall(String id, byte[] reply) {
    return "{\"type\":\"give\",\"job\":\"" + id + "\",\"data\":\"" + base64(reply) + "\"}";
  }

  static String skipCall(String id, long callNumber) {
    return "{\"type\":\"omit\",\"job\":\"" + id + "\",\"n\":" + callNumber + "}";
  }

  /** Encodes a request for the gauges; the answer has the same reference. */
  static String requestGauges(String reference) {
    return "{\"type\":\"gauges\",\"ref\":\"" + reference + "\"}";
  }

  private static String base64(byte[] bytes) {
    return Base64.getEncoder().encodeToString(bytes);
  }
}
