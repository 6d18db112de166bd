package rosecleat.front.uwsgi;

import rosecleat.config.ServiceOperation;
import rosecleat.core.Request;

/** The result of translating a uwsgi request. */
sealed interface TranslationResult {
  /** The request is valid and is to be submitted to the core. */
  record Translated(Request request, ServiceOperation operation) implements TranslationResult {}

  /**
   * The client requests the list of methods that a path allows.
   *
   * @param allowedMethods the methods in the form of an {@code Allow} header
   */
  record MethodQuery(String allowedMethods) implements TranslationResult {}

  /** The request is invalid. */
  record Invalid(RequestError error) implements TranslationResult {
    Invalid(RequestError.Kind kind, String subject) {
      this(new RequestError(kind, subject));
    }

    Invalid(RequestError.Kind kind) {
      this(new RequestError(kind));
    }
  }
}
