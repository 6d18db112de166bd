package rosecleat.front.resp;

import rosecleat.core.Request;

/** The outcome of decoding a message. */
sealed interface DecodeResult {
  /** The message is a valid request. */
  record Decoded(Request request) implements DecodeResult {}

  /** The message is not a valid request. */
  record Invalid(RequestError error) implements DecodeResult {}
}
