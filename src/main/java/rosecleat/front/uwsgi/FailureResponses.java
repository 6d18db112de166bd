package rosecleat.front.uwsgi;

import java.util.Map;
import rosecleat.core.FailureCause;
import rosecleat.core.Progress;
import rosecleat.core.Response;

/**
 * Creates the HTTP responses to requests that have no result. Each response has the header {@code
 * X-Progress}, which states whether the request never ran, ran, or may have run.
 */
final class FailureResponses {
  private static final String PROGRESS_HEADER = "X-Progress";
  private static final String RETRY_AFTER_HEADER = "Retry-After";
  private static final int BAD_REQUEST = 400;
  private static final int BAD_GATEWAY = 502;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final long US_PER_SECOND = 1_000_000;

  private FailureResponses() {}

  /** Returns the response to a rejected request, with a retry delay of at least one second. */
  static HttpResponse rejected(Response.Rejected rejected) {
    long retryAfterSeconds =
        Math.max(1, (rejected.retryAfterUs() + US_PER_SECOND - 1) / US_PER_SECOND);
    return unavailable(retryAfterSeconds, "turned away");
  }

  /** Returns the response to a request that was rejected at, or shortly before, its deadline. */
  static HttpResponse notStartedInTime() {
    return text(GATEWAY_TIMEOUT, Progress.NOT_SENT, "not begun in time");
  }

  /** Returns the response to a request whose service has no instance that accepts requests. */
  static HttpResponse noInstance(String service) {
    return unavailable(1, "no instance of " + service + " takes requests");
  }

  /** Returns the response to a request whose result exceeds the limits of buffered responses. */
  static HttpResponse noCapacity() {
    return text(BAD_GATEWAY, Progress.RAN, "no room for the reply");
  }

  /** Returns the response to a request for which clients' memory has no room. */
  static HttpResponse noMemory() {
    return unavailable(1, "no room for the request");
  }

  /** Returns the response to a request that failed. */
  static HttpResponse failed(Response.Failed failed) {
    return text(status(failed.cause()), failed.failure().progress(), failed.failure().message());
  }

  private static int status(FailureCause cause) {
    return switch (cause) {
      case CALLER -> BAD_REQUEST;
      case TIME -> GATEWAY_TIMEOUT;
      case BACKEND -> BAD_GATEWAY;
    };
  }

  private static HttpResponse unavailable(long retryAfterSeconds, String text) {
    return HttpResponse.text(
        SERVICE_UNAVAILABLE,
        Map.of(
            RETRY_AFTER_HEADER,
            Long.toString(retryAfterSeconds),
            PROGRESS_HEADER,
            progressValue(Progress.NOT_SENT)),
        text);
  }

  private static HttpResponse text(int status, Progress progress, String text) {
    return HttpResponse.text(status, Map.of(PROGRESS_HEADER, progressValue(progress)), text);
  }

  private static String progressValue(Progress progress) {
    if (progress.neverRan()) {
      return "never-ran";
    }
    return progress == Progress.RAN ? "ran" : "may-have-run";
  }
}
