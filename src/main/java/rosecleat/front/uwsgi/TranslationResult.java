package rosecleat.front.uwsgi;

import rosecleat.config.ServiceOperation;
import rosecleat.core.Request;

/** What became of translating a uwsgi request. */
sealed interface TranslationResult {
  /** The request is to be submitted to the core. */
  record Translated(Request request, ServiceOperation operation) implements TranslationResult {}

  /**
   * The client asks which methods a path supports.
   *
   * @param allowedMethods the methods, as an {@code Allow} header lists them
   */
  record MethodQuery(String allowedMethods) implements TranslationResult {}

  /** The request is not accepted. */
  record Invalid(RequestError error) implements TranslationResult {
    Invalid(RequestError.Kind kind, String subject) {
      this(new RequestError(kind, subject));
    }

    Invalid(RequestError.Kind kind) {
      this(new RequestError(kind));
    }
  }
}
