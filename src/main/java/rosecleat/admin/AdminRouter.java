package rosecleat.admin;

/** Maps the path of a request to an operation, executes it and maps the result to a response. */
final class AdminRouter {
  /** Size limit of a document, since a larger one would exceed the write queue of a connection. */
  static final int MAX_VIEW_BYTES = 32 << 20;

  private static final String GET = "GET";
  private static final String PUT = "PUT";

  private final AdminOperations operations;

  AdminRouter(AdminOperations operations) {
    this.operations = operations;
  }

  /** Executes a request and returns its response. */
  HttpResponse handle(HttpRequest request) {
    return switch (request.target()) {
      case "/v1/readyz" -> readiness(request);
      case "/v1/card-node/drain" ->
          execute(request, operations::drain, "{\"clients\":\"sent away\"}");
      case "/v1/card-node/activate" ->
          execute(request, operations::activate, "{\"clients\":\"taken\"}");
      default ->
          operations
              .view(request.target())
              .map(document -> view(request, document))
              .orElseGet(() -> HttpResponse.error(HttpStatus.NOT_FOUND, "no such path"));
    };
  }

  private HttpResponse readiness(HttpRequest request) {
    if (!request.method().equals(GET)) {
      return HttpResponse.methodNotAllowed(GET);
    }
    return operations.isReady()
        ? new HttpResponse(HttpStatus.OK, "{\"ready\":true}")
        : new HttpResponse(HttpStatus.SERVICE_UNAVAILABLE, "{\"ready\":false}");
  }

  private static HttpResponse execute(HttpRequest request, Runnable operation, String body) {
    if (!request.method().equals(PUT)) {
      return HttpResponse.methodNotAllowed(PUT);
    }
    operation.run();
    return new HttpResponse(HttpStatus.OK, body);
  }

  private static HttpResponse view(HttpRequest request, String document) {
    if (!request.method().equals(GET)) {
      return HttpResponse.methodNotAllowed(GET);
    }
    if (document.length() > MAX_VIEW_BYTES) {
      return HttpResponse.error(
          HttpStatus.SERVICE_UNAVAILABLE, "too much to be told in one answer");
    }
    return new HttpResponse(HttpStatus.OK, document);
  }
}
